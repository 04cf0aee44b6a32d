package lemonrail.lab.scale.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import lemonrail.lab.scale.ServeCommand;
import lemonrail.lab.scale.path.PathRow.Experiment;
import lemonrail.lab.scale.path.PathRow.RouteType;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs the small plan and checks that each row exists and is plausible; latencies depend on the machine. */
@Timeout(180)
class PathRunTest {

    @TempDir
    private Path folder;

    @Test
    void smallPlanProducesEachRow() throws Exception {
        PathPlan plan = PathPlan.small();
        PathReport report = new PathReport(line -> {});
        try (PathRun run = PathRun.of(
                plan, Path.of(".."), List.of("lemonrail.cli.Main", "serve"), folder.resolve("files"), report)) {
            run.run();
        }
        List<PathRow> rows = report.rows();
        assertEquals(
                Set.of(Experiment.values()),
                rows.stream().map(PathRow::experiment).collect(Collectors.toSet()));
        for (PathRow row : rows) {
            assertTrue(row.served() <= row.sent(), row.toCsv());
            assertTrue(row.rate() == 0 || row.sent() > 0, row.toCsv());
            if (row.routeType() != RouteType.DIRECT) {
                assertTrue(
                        row.usage().residentMb() > 1
                                && row.usage().cpuMs() >= 0
                                && row.usage().descriptors() > 0,
                        row.toCsv());
            }
            if (row.routeType() == RouteType.SIDECAR && row.rate() > 0 && row.calls() > 0) {
                assertTrue(row.cpuUs() > 1 && row.wakeups() > 0, row.toCsv());
            }
            if (row.served() > 0) {
                assertTrue(row.latencyMs(50) > 0 && row.latencyMs(50) <= row.latencyMs(99.9), row.toCsv());
            }
        }
        assertEquals(
                plan.rates(),
                report.compareRoutes().stream()
                        .map(PathVerdict.Comparison::rate)
                        .toList());
        assertEquals(
                plan.depth(),
                rows.stream()
                        .filter(row -> row.experiment() == Experiment.CHAIN
                                && row.routeType() == RouteType.SIDECAR
                                && row.step() > 0
                                && row.served() > 0)
                        .count());
        report.write(folder.resolve("kept"), "v");
        assertEquals(
                rows.size() + 1,
                Files.readAllLines(folder.resolve("kept").resolve("path.csv")).size());
        String page = Files.readString(folder.resolve("kept").resolve("path.md"));
        assertTrue(
                rows.stream()
                                .filter(row -> row.experiment() == Experiment.RAMP)
                                .map(PathRow::routeType)
                                .collect(Collectors.toSet())
                                .size()
                        == RouteType.values().length,
                "each route type must have a ramp");
        assertTrue(page.contains("| 100 | sidecar") && page.contains("| step 2"), page);
        assertTrue(Files.size(folder.resolve("kept").resolve("path-chain.svg")) > 500);
    }

    @Test
    void commandComesFromThePlatformConfiguration() throws Exception {
        ServeCommand command = ServeCommand.of(Path.of(".."));
        assertTrue(command.command().contains("-XX:TieredStopAtLevel=1"), command.toString());
        assertEquals(
                List.of("-jar", "edge/target/lemonrail.jar", "serve"),
                command.command()
                        .subList(command.command().size() - 3, command.command().size()));
        List<String> withOtherMainClass = command.withMainClass("lemonrail.lab.Main", "relay")
                .withMainClass("lemonrail.cli.Main", "serve")
                .command();
        assertEquals("java", withOtherMainClass.get(0));
        assertTrue(
                withOtherMainClass.contains("-XX:TieredStopAtLevel=1") && !withOtherMainClass.contains("-jar"),
                withOtherMainClass.toString());
        assertEquals(
                List.of("lemonrail.cli.Main", "serve"),
                withOtherMainClass.subList(withOtherMainClass.size() - 2, withOtherMainClass.size()));
    }
}
