package lemonrail.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Runs the demo with the shipped example configuration. */
@Timeout(60)
class DemoTest {

    private static final Pattern SUMMARY = Pattern.compile(
            "(\\d+) requests: (\\d+) served, (\\d+) refused, (\\d+) failed, " + "0 without a response; (\\d+) retried");
    private static final Path EXAMPLE_CONFIG = Path.of("..", "deploy", "lemonrail.toml");

    private final StringWriter out = new StringWriter();

    @Test
    void demoEndsWithASummaryInWhichEachRequestHasOneFinalResponse() throws Exception {
        try (Demo demo =
                new Demo(EXAMPLE_CONFIG, 100, 3, 1, false, Duration.ofSeconds(4), new PrintWriter(out), false)) {
            demo.run();
            assertTrue(demo.hasPassed(), out.toString());
        }
        Matcher summary = SUMMARY.matcher(out.toString());
        assertTrue(summary.find(), out.toString());
        int sent = Integer.parseInt(summary.group(1));
        assertEquals(
                sent,
                Integer.parseInt(summary.group(2))
                        + Integer.parseInt(summary.group(3))
                        + Integer.parseInt(summary.group(4)));
        assertTrue(sent >= 300, out.toString());
        assertTrue(Integer.parseInt(summary.group(2)) > sent / 2, out.toString());
        assertTrue(out.toString().contains("(failing)"), out.toString());
        assertTrue(Integer.parseInt(summary.group(5)) > 0, out.toString());
        assertTrue(out.toString().contains("served within"), out.toString());
    }

    @ParameterizedTest
    @ValueSource(strings = {"--for soon", "--for 0s", "--rate 0", "--rate x", "--endpoints 99", "--config none.toml"})
    void invalidArgumentsExitWithStatusTwo(String args) {
        CommandLine line = new CommandLine(new DemoCommand())
                .setErr(new PrintWriter(out))
                .setExecutionExceptionHandler((e, parsed, result) -> e instanceof IllegalArgumentException ? 2 : 1);
        assertEquals(2, line.execute(args.split(" ")), out.toString());
    }
}
