package lemonrail.lab.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Runs the lab's commands with arguments as a user gives them. */
@Timeout(120)
class CommandsTest {

    private static final Path CALM = Path.of("scenarios", "calm.toml");

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();

    private int execute(Object command, String... args) {
        return new CommandLine(command)
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(out, true))
                .setExecutionExceptionHandler((e, line, parsed) -> {
                    out.append(e.getMessage()).append('\n');
                    return e instanceof IllegalArgumentException ? 2 : 1;
                })
                .execute(args);
    }

    private String writeShortScenario() throws Exception {
        Files.copy(CALM.resolveSibling("edge.toml"), folder.resolve("edge.toml"));
        return Files.writeString(
                        folder.resolve("brief.toml"),
                        Files.readString(CALM)
                                .replace("length = \"30s\"", "length = \"2s\"")
                                .replace("warm-up = \"3s\"", "warm-up = \"0s\""))
                .toString();
    }

    @Test
    void runIsReportedAndListedInTheHistory() throws Exception {
        String runs = folder.resolve("runs").toString();
        int status =
                execute(new RunCommand(), writeShortScenario(), "--variant", "boxcar", "--seeds", "1", "--out", runs);
        // On a busy machine the run may be void; the output then says so.
        assertEquals(out.toString().contains("VOID") ? 1 : 0, status, out.toString());
        assertTrue(out.toString().contains("rules broken 0"), out.toString());
        Path run;
        try (Stream<Path> files = Files.walk(folder.resolve("runs"))) {
            run = files.filter(file -> file.endsWith("run.json"))
                    .findFirst()
                    .orElseThrow()
                    .getParent();
        }
        Files.delete(run.resolve("latency.png"));
        assertEquals(0, execute(new ReportCommand(), run.toString()), out.toString());
        assertTrue(Files.exists(run.resolve("latency.png")));
        assertEquals(0, execute(new HistoryCommand(), "--out", runs));
        assertTrue(out.toString().contains("brief boxcar"), out.toString());
        assertTrue(out.toString().contains(status == 0 ? "runs 1" : "1 void"), out.toString());
    }

    @Test
    void compareAndSweepWriteTheirTables() throws Exception {
        String runs = folder.resolve("runs").toString();
        String scenario = writeShortScenario();
        assertEquals(
                0,
                execute(
                        new CompareCommand(),
                        "boxcar",
                        "random",
                        "--in",
                        scenario,
                        "--seeds",
                        "2",
                        "--parallel",
                        "2",
                        "--out",
                        runs),
                out.toString());
        assertTrue(
                out.toString().contains("random has too few pairs to be compared with boxcar")
                        || out.toString().contains("no valid runs with the same scenario and seed"),
                out.toString());
        assertEquals(
                0,
                execute(
                        new SweepCommand(),
                        scenario,
                        "--set",
                        "limits.attempts",
                        "--values",
                        "1,3",
                        "--seeds",
                        "1",
                        "--parallel",
                        "2",
                        "--out",
                        runs),
                out.toString());
        List<String> names;
        try (Stream<Path> files = Files.walk(folder.resolve("runs"))) {
            names = files.map(file -> file.getFileName().toString()).toList();
        }
        assertTrue(
                names.containsAll(List.of("compare.md", "compare.csv", "sweep.md", "service.svg")), names.toString());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "--rate 0 http://127.0.0.1:1/",
                "--rate 5 ftp://x/",
                "--rate 5 --for soon http://x/",
                "--rate 5 --for 1s --warm-up 2s http://127.0.0.1:1/"
            })
    void invalidLoadArgumentsExitWithStatusTwo(String args) {
        assertEquals(2, execute(new LoadCommand(), args.split(" ")), out.toString());
    }

    @Test
    void unknownVariantsKeysAndDirectoriesAreRejected() {
        assertEquals(2, execute(new RunCommand(), CALM.toString(), "--variant", "best"));
        assertTrue(out.toString().contains("the scenario has [boxcar, random"), out.toString());
        assertEquals(
                2,
                execute(
                        new SweepCommand(),
                        CALM.toString(),
                        "--set",
                        "limits.atempts",
                        "--values",
                        "1",
                        "--out",
                        folder.toString()));
        assertTrue(out.toString().contains("limits.atempts is not a key"), out.toString());
        assertEquals(2, execute(new ReportCommand(), folder.toString()));
        assertEquals(
                2, execute(new HistoryCommand(), "--out", folder.resolve("none").toString()));
    }
}
