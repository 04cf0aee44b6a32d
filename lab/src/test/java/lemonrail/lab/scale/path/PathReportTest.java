package lemonrail.lab.scale.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import lemonrail.lab.host.ProcessUsage;
import lemonrail.lab.host.ProcessUsage.Kind;
import lemonrail.lab.host.ProcessUsage.Threads;
import lemonrail.lab.scale.path.PathRow.Experiment;
import lemonrail.lab.scale.path.PathRow.RouteType;
import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class PathReportTest {

    @TempDir
    private Path folder;

    private final PathReport report = new PathReport(line -> {});

    private void add(
            Experiment experiment,
            RouteType routeType,
            int round,
            int step,
            int endpoints,
            long latencyMicros,
            double lateMs) {
        Histogram latencies = new Histogram(3);
        latencies.recordValueWithCount(latencyMicros, 1000);
        report.add(new PathRow(
                experiment,
                routeType,
                round,
                step,
                endpoints,
                64,
                1,
                390,
                1000,
                endpoints == 20 ? 500 : 1000,
                latencies,
                1000,
                2500,
                routeType == RouteType.DIRECT
                        ? ProcessUsage.NONE
                        : new ProcessUsage(120, Map.of("1/1", new Threads(Kind.LOOP, 100 + endpoints, 2, 900)), 70, 40),
                lateMs,
                0.01,
                0,
                1.5));
    }

    private void addValidRows() {
        add(Experiment.SIDE_BY_SIDE, RouteType.DIRECT, 1, 0, 1, 100, 0.01);
        add(Experiment.SIDE_BY_SIDE, RouteType.RELAY, 1, 0, 1, 150, 0.01);
        add(Experiment.SIDE_BY_SIDE, RouteType.SIDECAR, 1, 0, 10, 400, 0.01);
        add(Experiment.CHAIN, RouteType.SIDECAR, 1, 1, 1, 300, 0.01);
    }

    @Test
    void rowsAppearInTheirTablesAndVoidOnesAreMarked() throws Exception {
        addValidRows();
        add(Experiment.ENDPOINTS, RouteType.SIDECAR, 1, 0, 10, 400, 0.01);
        add(Experiment.ENDPOINTS, RouteType.SIDECAR, 1, 0, 20, 400, 0.01);
        add(Experiment.RAMP, RouteType.SIDECAR, 1, 0, 10, 400, 0.2);
        report.write(folder, "v");
        String text = Files.readString(folder.resolve("path.md"));
        assertTrue(text.contains("**Target met.**"), text);
        assertTrue(text.contains("| 390 | sidecar | 0.300 | 0.300 | 0.300 | 0.300 |"), text);
        assertTrue(text.contains("| 390 | relay | 0.050 | 0.050 | 0.050 | 0.050 |"), text);
        assertTrue(
                text.contains(
                        "| sidecar | 20 | 64 | 1 | 390 | 500 of 1000 | 0.400 | 0.400 | 0.400 | " + "120 | " + "120 |"),
                text);
        assertTrue(text.contains("| sidecar (void) | 10 | 64 | 1 | 390 |"), text);
        // 10 more endpoints cost 10 µs more per call.
        assertTrue(
                text.contains(
                        "| CPU, µs per call, for each 1,000 endpoints listed | 1000.0000 | 100.00 " + "| 1.000 | 2 |"),
                text);
        assertEquals(1 + 7, Files.readAllLines(folder.resolve("path.csv")).size());
        for (String chart : List.of("path-cpu.svg", "path-chain.svg")) {
            assertTrue(Files.size(folder.resolve(chart)) > 500, chart);
        }
    }

    @Test
    void voidRoundsAreExcludedIfThereAreValidOnes() throws Exception {
        addValidRows();
        add(Experiment.SIDE_BY_SIDE, RouteType.SIDECAR, 2, 0, 10, 9000, 0.5);
        assertEquals(0.3, report.compareRoutes().get(0).addedMs(99), 0.001);
        assertTrue(report.isMet());
        report.write(folder, "v");
        String text = Files.readString(folder.resolve("path.md"));
        assertTrue(text.contains("5 measurements, 1 void."), text);
    }

    @Test
    void voidRoundsAloneGiveNoResult() throws Exception {
        add(Experiment.SIDE_BY_SIDE, RouteType.DIRECT, 1, 0, 1, 100, 0.01);
        add(Experiment.SIDE_BY_SIDE, RouteType.RELAY, 1, 0, 1, 150, 0.01);
        add(Experiment.SIDE_BY_SIDE, RouteType.SIDECAR, 1, 0, 10, 200, 0.5);
        add(Experiment.CHAIN, RouteType.SIDECAR, 1, 1, 1, 300, 0.01);
        assertFalse(report.isMet());
        report.write(folder, "v");
        String text = Files.readString(folder.resolve("path.md"));
        assertTrue(text.contains("**No result: rows are void or missing.**"), text);
        assertTrue(text.contains("| 390 | sidecar (void) |"), text);
    }

    @Test
    void missedTargetIsReported() throws Exception {
        addValidRows();
        add(Experiment.CHAIN, RouteType.SIDECAR, 1, 2, 1, 500, 0.01);
        assertFalse(report.isMet());
        report.write(folder, "v");
        String text = Files.readString(folder.resolve("path.md"));
        assertTrue(text.contains("**Target missed.**\n- step 2 of the chain: 0.500 ms added"), text);
    }
}
