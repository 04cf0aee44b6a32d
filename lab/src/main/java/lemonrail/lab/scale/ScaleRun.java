package lemonrail.lab.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import java.util.function.Supplier;
import lemonrail.config.ConfigSource;
import lemonrail.config.EdgeConfig;

/** Runs a scale scenario: the slopes, then the storms. */
public final class ScaleRun {

    private ScaleRun() {}

    /**
     * Runs a scenario. The results so far are returned also if the run fails or is interrupted.
     *
     * @param command the command that starts a real sidecar
     * @param planeFactory creates a control plane for each part of the run
     * @param output receives the progress
     */
    public static ScaleResults run(
            ScaleScenario scenario,
            ServeCommand command,
            Path scratch,
            String version,
            Supplier<ControlPlane> planeFactory,
            PrintWriter output)
            throws IOException {
        long startNanos = System.nanoTime();
        InetSocketAddress unusedAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        Path file = PlatformConfig.write(
                scratch.resolve("hollow.json"),
                "hollow",
                unusedAddress,
                unusedAddress,
                scenario.site().endpoints(),
                scenario.site().zoneNames());
        EdgeConfig config = ConfigSource.of(file, Map.of("TMPDIR", scratch.toString()))
                .load()
                .config();
        SlopeRun slopes = new SlopeRun(scenario, command, scratch, config, output, planeFactory);
        StormRun storms = new StormRun(scenario, command, scratch, config, output, planeFactory);
        String abortReason = "";
        try {
            if (scenario.slopes() != null) {
                slopes.run();
            }
            storms.run();
        } catch (IOException e) {
            abortReason = String.valueOf(e.getMessage());
        } catch (InterruptedException e) {
            abortReason = "interrupted";
        }
        return new ScaleResults(
                scenario,
                version,
                (System.nanoTime() - startNanos) / 1e6,
                slopes.points(),
                storms.rows(),
                storms.changeLines(),
                abortReason);
    }
}
