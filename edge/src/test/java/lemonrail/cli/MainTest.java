package lemonrail.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests start, reload and exit of the program in a process of its own. */
@Timeout(60)
class MainTest {

    private static final String CONFIG = """
        {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
        "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "known":{"version":0,"full":true,"servers":[]},
        "settings":{"azs":["a"],"models":[],"membership-mode":"on_request",
        "classes":[{"name":"read","effect":"repeatable","slo-ms":500,"hard-limit-ms":1000}],
        "limits":{"dial-timeout-ms":200,"idle-close-ms":15000,"try-limit":3},"rules":{}}}""";

    @TempDir
    Path folder;

    private Process serve(String config) throws IOException {
        return serve(config, List.of());
    }

    /** Starts the program through a launcher, which gets the program's command line as its arguments. */
    private Process serve(String config, List<String> launcher) throws IOException {
        return serve(config, launcher, List.of());
    }

    /** Starts the program through a launcher and with additional JVM options. */
    private Process serve(String config, List<String> launcher, List<String> options) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(launcher);
        command.addAll(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "lemonrail.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.redirectErrorStream(true).start();
    }

    /**
     * Guards against a start that initializes the JDK Flight Recorder. Netty's buffers emit events for it, so that the
     * first buffer of each kind caused class loading and code generation on the event loop.
     */
    @Test
    void startLoadsNoFlightRecorderClasses() throws Exception {
        Process process = serve(CONFIG, List.of(), List.of("-Xlog:class+load"));
        try (BufferedReader log = process.inputReader()) {
            List<String> loaded = linesUntil(log, "warm after");
            assertTrue(loaded.stream().anyMatch(line -> line.contains("io.netty.buffer.")));
            assertEquals(
                    List.of(),
                    loaded.stream()
                            .filter(line -> line.contains("jdk.jfr.internal.handlers"))
                            .toList());
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against a warm-up that covers only one request path. The classes for a large response, a truncated
     * response and a malformed request must be loaded during the start, and are therefore part of the class
     * archive.
     */
    @Test
    void startLoadsTheClassesOfAllRequestPaths() throws Exception {
        Process process = serve(CONFIG, List.of(), List.of("-Xlog:class+load"));
        try (BufferedReader log = process.inputReader()) {
            String loaded = String.join("\n", linesUntil(log, "warm after"));
            for (String needed : List.of(
                    "lemonrail.streaming.BodyPipe ",
                    "lemonrail.http1.PipeWriter ",
                    "lemonrail.http1.ClientMessage$RequestError ",
                    "lemonrail.http1.ResponseQueue$BodyListener ",
                    "lemonrail.core.balancer.AttemptResult ")) {
                assertTrue(loaded.contains(needed), needed + "must be loaded during the start");
            }
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a planned restart that counts as a crash. The exit status after SIGTERM must be 0. */
    @Test
    void sigtermExitsWithStatusZero() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "warm after");
            // ProcessHandle.destroy sends SIGTERM. Unlike Process.destroy, it leaves the log readable.
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a SIGHUP that ends the program. Each SIGHUP must reload the configuration. */
    @Test
    void sighupReloadsTheConfiguration() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "warm after");
            for (String port : List.of("2", "3")) {
                Files.writeString(
                        folder.resolve("config.json"), CONFIG.replace("127.0.0.1:1\"", "127.0.0.1:" + port + "\""));
                assertEquals(
                        0,
                        new ProcessBuilder("kill", "-HUP", "" + process.pid())
                                .start()
                                .waitFor());
                awaitLine(log, "discovery is at /127.0.0.1:" + port);
            }
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against reloads that fail silently because the program was started with SIGHUP ignored. */
    @Test
    void logsThatTheReloadSignalIsIgnored() throws Exception {
        Assumptions.assumeTrue(Files.exists(Path.of("/proc/self/status")), "/proc/self/status is not available");
        assertTrue(logsThatReloadsAreDisabled("trap '' HUP"));
        assertFalse(logsThatReloadsAreDisabled("trap - HUP"));
    }

    /** Returns whether the program, started from a shell after this command, logs that reloads are disabled. */
    private boolean logsThatReloadsAreDisabled(String shellCommand) throws Exception {
        Process process = serve(CONFIG, List.of("sh", "-c", shellCommand + "; exec \"$@\"", "sh"));
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "warm after");
            process.toHandle().destroy();
            boolean disabled =
                    log.lines().anyMatch(line -> line.contains("configuration reloads by signal are disabled: SIGHUP"));
            assertEquals(0, process.waitFor());
            return disabled;
        } finally {
            process.destroyForcibly();
        }
    }

    private static void awaitLine(BufferedReader log, String text) throws IOException {
        linesUntil(log, text);
    }

    /** Returns the lines before the first one with this text. Fails if the log ends without one. */
    private static List<String> linesUntil(BufferedReader log, String text) throws IOException {
        List<String> lines = new ArrayList<>();
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            lines.add(line);
            line = log.readLine();
        }
        assertNotEquals(null, line, "the log ended without this text: " + text);
        return lines;
    }

    @Test
    void invalidConfigurationIsReportedInOneLine() throws Exception {
        Process process = serve(CONFIG.replace("\"sockets\":1024", "\"sockets\":\"many\""));
        try (BufferedReader log = process.inputReader()) {
            List<String> lines = log.lines().toList();
            assertEquals(
                    List.of("lemonrail: " + folder.resolve("config.json")
                            + ":2: limits.sockets = many: field limits.sockets is invalid: many"),
                    lines);
            assertEquals(2, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }
}
