package lemonrail.lab.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import lemonrail.config.ConfigSource;
import lemonrail.config.EdgeConfig;

/** Plays a scale run: slopes, then storms. */
public final class ScaleRun {

    private ScaleRun() {
    }

    /**
     * Plays it.
     *
     * @param program what real sidecars are
     * @param planes makes the control that storms are played against
     */
    public static ScaleResults play(ScaleScenario scenario, Program program, Path scratch, String version,
            Supplier<ControlPlane> planes, PrintWriter words) throws IOException, InterruptedException {
        long began = System.nanoTime();
        InetSocketAddress nowhere = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        Path file = PlatformConfig.write(scratch.resolve("hollow.json"), "hollow", nowhere, nowhere,
            scenario.site().endpoints(), scenario.site().zoneNames());
        EdgeConfig config = ConfigSource.of(file, Map.of("TMPDIR", scratch.toString())).load().config();
        List<Point> points = scenario.slopes() == null ? List.of()
            : new SlopeRun(scenario, program, scratch, config, words, planes).run();
        StormRun storms = new StormRun(scenario, program, scratch, config, words, planes);
        List<StormRow> rows = scenario.storms().isEmpty() ? List.of() : storms.run();
        return new ScaleResults(scenario, version, (System.nanoTime() - began) / 1e6, points, rows,
            storms.changeLines());
    }
}
