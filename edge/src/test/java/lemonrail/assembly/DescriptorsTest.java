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
 * The sidecar as a child process whose system limit on descriptors equals the configured one. Idle clients take as
 * many connections as they can get, and all other connections must still be established.
 */
@Timeout(90)
class DescriptorsTest {

    private static final int SOCKETS = 300;
    private static final int IDLE_CLIENTS = 400;
    private static final int DEADLINE_MS = 8000;
    /** The initial concurrency limit of the load balancer. */
    private static final int CONCURRENT_REQUESTS = 4;

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new ArrayList<>();
    private final Queue<String> log = new ConcurrentLinkedQueue<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private Process process;
    private InetSocketAddress address;
    private InetSocketAddress adminApi;

    @AfterEach
    void stop() throws Exception {
        if (process != null) {
            process.destroyForcibly().waitFor();
        }
        for (AutoCloseable resource : open) {
            resource.close();
        }
    }

    private <T extends AutoCloseable> T closeAfterTest(T resource) {
        open.add(resource);
        return resource;
    }

    /** Returns a port on which no process listens now. */
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
                        SidecarFixture.endpointListJson(
                                1, true, SidecarFixture.endpointJson(0, endpoint.address(), "in_service", 0)));
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
        Thread reader = new Thread(() -> readLog(process, serving), "log");
        reader.setDaemon(true);
        reader.start();
        serving.await();
    }

    private void readLog(Process process, CountDownLatch serving) {
        try (BufferedReader lines = process.inputReader()) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                log.add(line);
                if (line.contains("serving at ")) {
                    String port = line.replaceAll(".*serving at [^:]*:([0-9]+).*", "$1");
                    address = new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
                    serving.countDown();
                }
            }
        } catch (IOException e) {
            // The process has ended with the test.
            return;
        }
    }

    private String request() {
        return "GET /api HTTP/1.1\r\nX-Request-Id: r" + requestCount.getAndIncrement() + "\r\nX-Class: read\r\n"
                + "X-Deadline-Ms: " + DEADLINE_MS + "\r\nHost: x\r\n\r\n";
    }

    /** Connects more idle clients than the limit permits: silent, with half a request, or with their response. */
    private void connectIdleClients() throws IOException {
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            HttpTestConnection idle = closeAfterTest(HttpTestConnection.to(address));
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

    private String sendRequest() {
        try (HttpTestConnection client = HttpTestConnection.to(address)) {
            HttpTestConnection.Message response = client.send(request()).read();
            return response.status() == 200 ? response.body() : String.valueOf(response.status());
        } catch (IOException e) {
            return e.toString();
        }
    }

    private int adminStatus() throws IOException {
        try (HttpTestConnection admin = HttpTestConnection.to(adminApi)) {
            return admin.send("GET /v1/metrics HTTP/1.1\r\nHost: n0\r\n\r\n")
                    .read()
                    .status();
        }
    }

    private void assertAllAreServed(String served) throws Exception {
        connectIdleClients();
        assertEquals(200, adminStatus());
        assertEquals(served, sendRequest(), this::logged);
        String[] bodies = new String[CONCURRENT_REQUESTS];
        Thread[] clients = new Thread[CONCURRENT_REQUESTS];
        for (int i = 0; i < clients.length; i++) {
            int number = i;
            clients[i] = new Thread(() -> bodies[number] = sendRequest());
            clients[i].start();
        }
        for (Thread client : clients) {
            client.join();
        }
        for (String body : bodies) {
            assertEquals(served, body, this::logged);
        }
        assertFalse(
                log.stream().anyMatch(line -> line.contains("Too many open files") || line.contains("fault")),
                this::logged);
    }

    /** Guards against idle clients that take the descriptor which is needed once discovery can be reached again. */
    @ParameterizedTest
    @ValueSource(strings = {"refuses", "silent"})
    void idleClientsDoNotExhaustDescriptors(String failure) throws Exception {
        StubEndpoint before = closeAfterTest(StubEndpoint.respondingWith(200, "", "before"));
        StubEndpoint after = closeAfterTest(StubEndpoint.respondingWith(200, "", "after"));
        CountDownLatch reachable = new CountDownLatch(1);
        int port = freePort();
        StubEndpoint.RequestHandler handler = (connection, request) -> {
            reachable.await();
            if (request.startLine().contains("index=2")) {
                connection.awaitEnd();
            }
            StubEndpoint.respond(
                    connection,
                    200,
                    "",
                    SidecarFixture.endpointListJson(
                            2, true, SidecarFixture.endpointJson(1, after.address(), "in_service", 0)));
        };
        if (failure.equals("silent")) {
            port = closeAfterTest(new StubEndpoint(handler)).port();
        }
        serve(before, port);
        for (int i = 0; i < 3; i++) {
            assertAllAreServed("before");
        }
        connectIdleClients();
        reachable.countDown();
        if (failure.equals("refuses")) {
            closeAfterTest(new StubEndpoint(handler, port));
        }
        SidecarFixture.await(
                "the endpoint list of discovery is in force",
                () -> sendRequest().equals("after"));
        assertAllAreServed("after");
    }

    /** Checks that the system limit of the process is as configured, and that the process comes near it. */
    @Test
    void processStaysWithinDescriptorLimit() throws Exception {
        serve(closeAfterTest(StubEndpoint.respondingWith(200, "", "served")), freePort());
        Path limits = Path.of("/proc", String.valueOf(process.pid()), "limits");
        assertTrue(Files.readString(limits)
                .lines()
                .anyMatch(line -> line.startsWith("Max open files") && line.matches(".*\\s" + SOCKETS + "\\s.*")));
        connectIdleClients();
        try (var descriptors = Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            long openDescriptors = descriptors.count();
            assertTrue(
                    openDescriptors > SOCKETS / 3 && openDescriptors <= SOCKETS,
                    openDescriptors + " descriptors are open");
        }
    }
}
