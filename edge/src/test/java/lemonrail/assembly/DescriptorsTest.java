package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The program as a process that the system itself allows no more descriptors than its configuration says:
 * clients that ask for nothing take all they can get, and whoever needs one gets it all the same.
 */
@Timeout(90)
class DescriptorsTest {

    private static final int SOCKETS = 300;
    private static final int IDLE_CLIENTS = 400;
    private static final int DEADLINE_MS = 8000;
    /** As many as the balancer lets through at once at first. */
    private static final int CALLS_AT_ONCE = 4;

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final Queue<String> log = new ConcurrentLinkedQueue<>();
    private final AtomicInteger asked = new AtomicInteger();
    private Process process;
    private InetSocketAddress address;
    private InetSocketAddress adminApi;

    @AfterEach
    void stop() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        for (AutoCloseable each : open) {
            each.close();
        }
    }

    private <T extends AutoCloseable> T keep(T opened) {
        open.add(opened);
        return opened;
    }

    /** A port that nobody listens at now. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void serve(StubEndpoint endpoint, int discoveryPort) throws Exception {
        int adminPort = freePort();
        adminApi = new InetSocketAddress("127.0.0.1", adminPort);
        String config = """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"1f",
            "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"known":%s,
            "settings":{"azs":["a"],"models":["m"],"membership-mode":"on_request",
            "classes":[{"name":"read","effect":"repeatable","slo-ms":9000,"hard-limit-ms":9000}],
            "limits":{"dial-timeout-ms":2000,"idle-close-ms":15000,"try-limit":3},
            "rules":{"drain-grace-ms":1000}}}""".formatted(
                        discoveryPort,
                        SOCKETS,
                        SidecarFixture.list(1, true, SidecarFixture.line(0, endpoint.address(), "in_service", 0)));
        ProcessBuilder builder = new ProcessBuilder(
                "sh",
                "-c",
                "ulimit -n " + SOCKETS + "; exec \"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "lemonrail.cli.Main",
                "serve");
        builder.environment()
                .put(
                        "GW_CONFIG",
                        Files.writeString(folder.resolve("config.json"), config).toString());
        builder.environment().put("GW_MGMT", "127.0.0.1:" + adminPort);
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.redirectErrorStream(true).start();
        CountDownLatch serving = new CountDownLatch(1);
        Thread reader = new Thread(() -> read(process, serving), "log");
        reader.setDaemon(true);
        reader.start();
        serving.await();
    }

    private void read(Process from, CountDownLatch serving) {
        try (BufferedReader lines = from.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.add(line);
                if (line.contains("serving at ")) {
                    String port = line.replaceAll(".*serving at [^:]*:([0-9]+).*", "$1");
                    address = new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
                    serving.countDown();
                }
            }
        } catch (IOException e) {
            // The test is over.
            return;
        }
    }

    private String request() {
        return "GET /api HTTP/1.1\r\nX-Request-Id: r" + asked.getAndIncrement() + "\r\nX-Class: read\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MS + "\r\nHost: x\r\n\r\n";
    }

    /** Clients that say nothing, have half a request, or their answer; more than there is room for. */
    private void fill() throws IOException {
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            HttpTestConnection idle = keep(HttpTestConnection.to(address));
            if (i % 3 == 1) {
                idle.send("GET /api HT");
            } else if (i % 3 == 2) {
                idle.send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").read();
            }
        }
    }

    private String logged() {
        return String.join("\n", log);
    }

    private String ask() {
        try (HttpTestConnection client = HttpTestConnection.to(address)) {
            HttpTestConnection.Message answer = client.send(request()).read();
            return answer.status() == 200 ? answer.body() : String.valueOf(answer.status());
        } catch (IOException e) {
            return e.toString();
        }
    }

    private int adminStatus() throws IOException {
        try (HttpTestConnection operator = HttpTestConnection.to(adminApi)) {
            return operator.send("GET /v1/metrics HTTP/1.1\r\nHost: n0\r\n\r\n")
                    .read()
                    .status();
        }
    }

    private void assertAllGetTheirs(String served) throws Exception {
        fill();
        assertEquals(200, adminStatus());
        assertEquals(served, ask(), this::logged);
        String[] bodies = new String[CALLS_AT_ONCE];
        Thread[] callers = new Thread[CALLS_AT_ONCE];
        for (int i = 0; i < callers.length; i++) {
            int number = i;
            callers[i] = new Thread(() -> bodies[number] = ask());
            callers[i].start();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        for (String body : bodies) {
            assertEquals(served, body, this::logged);
        }
        assertFalse(
                log.stream().anyMatch(line -> line.contains("Too many open files") || line.contains("fault")),
                this::logged);
    }

    /** Guards against a discovery that comes back and finds that idle clients have taken its descriptor. */
    @ParameterizedTest
    @ValueSource(strings = {"refuses", "silent"})
    void idleClientsDoNotExhaustDescriptors(String down) throws Exception {
        StubEndpoint before = keep(StubEndpoint.respondingWith(200, "", "before"));
        StubEndpoint after = keep(StubEndpoint.respondingWith(200, "", "after"));
        CountDownLatch back = new CountDownLatch(1);
        int port = freePort();
        StubEndpoint.RequestHandler script = (wire, request) -> {
            back.await();
            if (request.line().contains("index=2")) {
                wire.awaitEnd();
            }
            StubEndpoint.respond(
                    wire,
                    200,
                    "",
                    SidecarFixture.list(2, true, SidecarFixture.line(1, after.address(), "in_service", 0)));
        };
        if (down.equals("silent")) {
            port = keep(new StubEndpoint(script)).port();
        }
        serve(before, port);
        for (int i = 0; i < 3; i++) {
            assertAllGetTheirs("before");
        }
        fill();
        back.countDown();
        if (down.equals("refuses")) {
            keep(new StubEndpoint(script, port));
        }
        SidecarFixture.await("discovery's list is in force", () -> ask().equals("after"));
        assertAllGetTheirs("after");
    }

    /** The measure itself: where there is no room for what the program says it needs, the system says so. */
    @Test
    void processStaysWithinDescriptorLimit() throws Exception {
        serve(keep(StubEndpoint.respondingWith(200, "", "served")), freePort());
        Path limits = Path.of("/proc", String.valueOf(process.pid()), "limits");
        assertTrue(Files.readString(limits)
                .lines()
                .anyMatch(line -> line.startsWith("Max open files") && line.matches(".*\\s" + SOCKETS + "\\s.*")));
        fill();
        try (var descriptors = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            long held = descriptors.count();
            assertTrue(held > SOCKETS / 3 && held <= SOCKETS, held + " held");
        }
    }
}
