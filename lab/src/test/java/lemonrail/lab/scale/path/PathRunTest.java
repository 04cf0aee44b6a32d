package lemonrail.lab.scale.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import lemonrail.lab.scale.ServeCommand;
import lemonrail.lab.scale.path.PathRow.Part;
import lemonrail.lab.scale.path.PathRow.Way;
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
        assertEquals(Set.of(Part.values()), rows.stream().map(PathRow::part).collect(Collectors.toSet()));
        for (PathRow row : rows) {
            assertTrue(row.served() <= row.sent(), row.csv());
            assertTrue(row.rate() == 0 || row.sent() > 0, row.csv());
            if (row.way() != Way.DIRECT) {
                assertTrue(
                        row.usage().residentMb() > 1
                                && row.usage().cpuMs() >= 0
                                && row.usage().descriptors() > 0,
                        row.csv());
            }
            if (row.way() == Way.SIDECAR && row.rate() > 0 && row.calls() > 0) {
                assertTrue(row.cpuUs() > 1 && row.wakeups() > 0, row.csv());
            }
            if (row.served() > 0) {
                assertTrue(row.ms(50) > 0 && row.ms(50) <= row.ms(99.9), row.csv());
            }
        }
        assertEquals(
                plan.rates(),
                report.compared().stream().map(PathVerdict.Compared::rate).toList());
        assertEquals(
                plan.depth(),
                rows.stream()
                        .filter(row -> row.part() == Part.CHAIN
                                && row.way() == Way.SIDECAR
                                && row.step() > 0
                                && row.served() > 0)
                        .count());
        report.keep(folder.resolve("kept"), "v");
        assertEquals(
                rows.size() + 1,
                Files.readAllLines(folder.resolve("kept").resolve("path.csv")).size());
        String page = Files.readString(folder.resolve("kept").resolve("path.md"));
        assertTrue(
                rows.stream()
                                .filter(row -> row.part() == Part.RAMP)
                                .map(PathRow::way)
                                .collect(Collectors.toSet())
                                .size()
                        == Way.values().length,
                "a ramp for each way");
        assertTrue(page.contains("| 100 | sidecar") && page.contains("| step 2"), page);
        assertTrue(Files.size(folder.resolve("kept").resolve("path-chain.svg")) > 500);
    }

    @Test
    void theCommandIsThePlatforms() throws Exception {
        ServeCommand command = ServeCommand.of(Path.of(".."));
        assertTrue(command.words().contains("-XX:TieredStopAtLevel=1"), command.toString());
        assertEquals(
                List.of("-jar", "edge/target/lemonrail.jar", "serve"),
                command.words()
                        .subList(command.words().size() - 3, command.words().size()));
        List<String> other = command.withMainClass("lemonrail.lab.Main", "relay")
                .withMainClass("lemonrail.cli.Main", "serve")
                .words();
        assertEquals("java", other.get(0));
        assertTrue(other.contains("-XX:TieredStopAtLevel=1") && !other.contains("-jar"), other.toString());
        assertEquals(List.of("lemonrail.cli.Main", "serve"), other.subList(other.size() - 2, other.size()));
    }
}
