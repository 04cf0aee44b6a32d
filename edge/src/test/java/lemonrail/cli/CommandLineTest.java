package lemonrail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the command line in a process of its own: output on each stream, and the exit status. */
@Timeout(60)
class CommandLineTest {

    private static final Path EXAMPLE = Path.of("..", "deploy", "lemonrail.toml");

    /** Invalid batch that each call gets on standard input. Only the simulator's adapter reads it. */
    private static final String INVALID_BATCH = "{]";

    @TempDir
    Path folder;

    private record Result(int status, String out, String err) {}

    private Result call(String... args) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "lemonrail.cli.Main"));
        command.addAll(List.of(args));
        Path out = folder.resolve("out");
        Path err = folder.resolve("err");
        Path in = Files.writeString(folder.resolve("in"), INVALID_BATCH);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectInput(in.toFile())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile());
        builder.environment().remove(Main.CONFIG_VARIABLE);
        int status = builder.start().waitFor();
        return new Result(status, Files.readString(out), Files.readString(err));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "|2|Usage: lemonrail",
                "nonsense|2|Unmatched argument",
                "benchlink more|2|Unmatched argument",
                "simulator more|2|Unmatched argument",
                "check|2|Missing required parameter",
                "config|2|Usage: lemonrail config",
                "serve|2|no configuration: give --config FILE or set GW_CONFIG",
                "serve --config|2|Missing required parameter",
                "config schema --format xml|2|Invalid value for option",
                "serve --config none.toml|2|lemonrail: none.toml: file not found",
                "check none.json none.toml|2|none.json: file not found; check GW_CONFIG or the command line"
            })
    void invalidCallPrintsReasonAndReturnsTwo(String args, int status, String expectedMessage) throws Exception {
        Result result = call(args == null ? new String[0] : args.split(" "));
        assertEquals(status, result.status(), result.err());
        assertTrue(result.err().contains(expectedMessage), result.err());
        assertEquals("", result.out());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "--help|check",
                "serve --help|--config",
                "simulator --help|Usage: lemonrail simulator",
                "benchlink --help|Usage: lemonrail simulator",
                "config schema --help|--format",
                "version|lemonrail ",
                "--version|lemonrail ",
                "generate-completion|complete -F",
                "config schema|[[listeners]]",
                "config schema --format json|2020-12"
            })
    void validCallPrintsOnStandardOutput(String args, String expectedOutput) throws Exception {
        Result result = call(args.split(" "));
        assertEquals(0, result.status(), result.err());
        assertTrue(result.out().contains(expectedOutput), result.out());
        assertEquals("", result.err());
    }

    /** The adapter fails immediately on an invalid batch, which shows that the command has started it. */
    @ParameterizedTest
    @ValueSource(strings = {"simulator", "benchlink"})
    void simulatorCommandAndItsAliasRunTheAdapter(String command) throws Exception {
        Result result = call(command);
        assertEquals(1, result.status(), result.err());
        assertTrue(result.err().startsWith("lemonrail: batch (number not read yet)"), result.err());
        assertEquals("", result.out());
    }

    @Test
    void checksAndShowsTheExample() throws Exception {
        Result checked = call("check", EXAMPLE.toString());
        assertEquals(0, checked.status(), checked.err());
        assertTrue(checked.out().contains("edge-1 would listen on 127.0.0.1:9000"), checked.out());
        assertTrue(checked.out().contains("3 of 3 fixed endpoints"), checked.out());
        Result shown = call("config", "show", "--effective", "--config", EXAMPLE.toString());
        assertTrue(shown.out().contains("limits.attempts = 3  # " + EXAMPLE), shown.out());
        assertTrue(shown.out().contains("drain.grace = \"1s\"  # default, needs a restart"), shown.out());
    }

    @Test
    void checkPrintsOneLineForEachProblem() throws Exception {
        Path bad = Files.writeString(
                folder.resolve("bad.toml"),
                Files.readString(EXAMPLE, StandardCharsets.UTF_8)
                        .replace("\"2s\"  ", "\"9s\"  ")
                        .replace("descriptors = 1024", "descriptors = 1"));
        Result result = call("check", EXAMPLE.toString(), bad.toString());
        assertEquals(2, result.status());
        assertTrue(result.out().contains(EXAMPLE + ": valid"), result.out());
        assertEquals(2, result.err().lines().count(), result.err());
        assertTrue(result.err().lines().allMatch(line -> line.startsWith(bad + ":")), result.err());
    }
}
