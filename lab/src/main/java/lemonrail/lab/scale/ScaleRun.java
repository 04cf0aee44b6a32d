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

/** Plays a scale run: slopes, then storms. */
public final class ScaleRun {

    private ScaleRun() {}

    /**
     * Plays it; what it came to is kept where it cannot go on, or is interrupted, as well.
     *
     * @param command by which real sidecars are started
     * @param planes makes the control that storms are played against
     */
    public static ScaleResults play(
            ScaleScenario scenario,
            ServeCommand command,
            Path scratch,
            String version,
            Supplier<ControlPlane> planes,
            PrintWriter words)
            throws IOException {
        long began = System.nanoTime();
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        Path file = PlatformConfig.write(
                scratch.resolve("hollow.json"),
                "hollow",
                nowhere,
                nowhere,
                scenario.site().endpoints(),
                scenario.site().zoneNames());
        EdgeConfig config = ConfigSource.of(file, Map.of("TMPDIR", scratch.toString()))
                .load()
                .config();
        SlopeRun slopes = new SlopeRun(scenario, command, scratch, config, words, planes);
        StormRun storms = new StormRun(scenario, command, scratch, config, words, planes);
        String cutShort = "";
        try {
            if (scenario.slopes() != null) {
                slopes.run();
            }
            storms.run();
        } catch (IOException e) {
            cutShort = String.valueOf(e.getMessage());
        } catch (InterruptedException e) {
            cutShort = "interrupted";
        }
        return new ScaleResults(
                scenario,
                version,
                (System.nanoTime() - began) / 1e6,
                slopes.points(),
                storms.rows(),
                storms.changeLines(),
                cutShort);
    }
}
