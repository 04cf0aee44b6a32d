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

/** The program as a process: how it starts and how it ends. */
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

    /** The same through another command, which gets the program's own as its arguments. */
    private Process serve(String config, List<String> through) throws IOException {
        return serve(config, through, List.of());
    }

    /** The same with further options of the JVM. */
    private Process serve(String config, List<String> through, List<String> options) throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        List<String> command = new ArrayList<>(through);
        command.addAll(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:TieredStopAtLevel=1"));
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), "lemonrail.cli.Main", "serve"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("GW_CONFIG", file.toString());
        return builder.redirectErrorStream(true).start();
    }

    /**
     * Guards against starts that pay for the flight recorder: Netty's buffers have events for it, and the
     * first buffer of each kind had its classes loaded and code for them generated, on the event loop.
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
     * Guards against a warm-up that knows one way only: what a large answer, one that breaks off or a client
     * that says no request needs is loaded before the first of them comes, and so is in the class archive.
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
                assertTrue(loaded.contains(needed), needed + "is met");
            }
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a planned restart that counts as a crash: after SIGTERM it exits with 0. */
    @Test
    void sigtermIsACleanExit() throws Exception {
        Process process = serve(CONFIG);
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "warm after");
            // This is SIGTERM; unlike Process.destroy it leaves the log readable.
            process.toHandle().destroy();
            assertEquals(0, process.waitFor());
        } finally {
            process.destroyForcibly();
        }
    }

    /** Guards against a reload that ends the program: SIGHUP reads the configuration again, each time. */
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

    /** Guards against a reload that nobody hears of: where SIGHUP is ignored from the start, it says so. */
    @Test
    void logsThatTheReloadSignalIsIgnored() throws Exception {
        Assumptions.assumeTrue(Files.exists(Path.of("/proc/self/status")), "the system does not tell");
        assertTrue(reloadsAreOff("trap '' HUP"));
        assertFalse(reloadsAreOff("trap - HUP"));
    }

    /** Whether a process that a shell starts so says that it hears no reloads, before it has stopped. */
    private boolean reloadsAreOff(String before) throws Exception {
        Process process = serve(CONFIG, List.of("sh", "-c", before + "; exec \"$@\"", "sh"));
        try (BufferedReader log = process.inputReader()) {
            awaitLine(log, "warm after");
            process.toHandle().destroy();
            boolean off =
                    log.lines().anyMatch(line -> line.contains("configuration reloads by signal are disabled: SIGHUP"));
            assertEquals(0, process.waitFor());
            return off;
        } finally {
            process.destroyForcibly();
        }
    }

    private static void awaitLine(BufferedReader log, String part) throws IOException {
        linesUntil(log, part);
    }

    /** The lines up to one with this part; that none comes is a failure. */
    private static List<String> linesUntil(BufferedReader log, String part) throws IOException {
        List<String> lines = new ArrayList<>();
        String line = log.readLine();
        while (line != null && !line.contains(part)) {
            lines.add(line);
            line = log.readLine();
        }
        assertNotEquals(null, line, "it goes on to say: " + part);
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
