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

/** The small form: each row comes out and is sane; how fast this machine is shows nothing here. */
@Timeout(180)
class PathRunTest {

    @TempDir
    private Path folder;

    @Test
    void theSmallFormGivesEachRow() throws Exception {
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
                "a ramp for each way");
        assertTrue(page.contains("| 100 | sidecar") && page.contains("| step 2"), page);
        assertTrue(Files.size(folder.resolve("kept").resolve("path-chain.svg")) > 500);
    }

    @Test
    void theCommandIsThePlatforms() throws Exception {
        ServeCommand command = ServeCommand.of(Path.of(".."));
        assertTrue(command.command().contains("-XX:TieredStopAtLevel=1"), command.toString());
        assertEquals(
                List.of("-jar", "edge/target/lemonrail.jar", "serve"),
                command.command()
                        .subList(command.command().size() - 3, command.command().size()));
        List<String> other = command.withMainClass("lemonrail.lab.Main", "relay")
                .withMainClass("lemonrail.cli.Main", "serve")
                .command();
        assertEquals("java", other.get(0));
        assertTrue(other.contains("-XX:TieredStopAtLevel=1") && !other.contains("-jar"), other.toString());
        assertEquals(List.of("lemonrail.cli.Main", "serve"), other.subList(other.size() - 2, other.size()));
    }
}
