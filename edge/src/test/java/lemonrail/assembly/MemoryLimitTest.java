package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Crowds of clients, each of which makes a sidecar process hold as much as it can. The process stays within the memory
 * of its settings and goes on serving another client.
 */
@Timeout(90)
class MemoryLimitTest {

    private static final int CLIENTS = 420;
    private static final int ENDPOINTS = 6;
    private static final int DEADLINE_MS = 2000;
    private static final int MAX_RESPONSE_MS = 1000;
    /** The time that the crowd stays connected, during which another client sends requests. */
    private static final int CROWD_MS = 4000;

    private static final int PIPELINED_REQUESTS = 8;
    private static final int UPLOAD_BYTES = 2_000_000;

    @TempDir
    Path folder;

    private final List<HttpTestConnection> crowd = new ArrayList<>();
    private SidecarFixture fixture;
    private SidecarChildProcess sidecar;

    private void start(int memoryMb) throws Exception {
        StubEndpoint[] endpoints = new StubEndpoint[ENDPOINTS];
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints[i] = StubEndpoint.respondingWith(200, "", "served");
        }
        fixture = new SidecarFixture(endpoints);
        String config = fixture.config().replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb);
        sidecar = DeployedSidecar.start(Files.writeString(folder.resolve("config.json"), config), folder);
    }

    @AfterEach
    void stop() throws Exception {
        for (HttpTestConnection client : crowd) {
            client.close();
        }
        sidecar.process.destroyForcibly().waitFor();
        fixture.close();
    }

    private void connectCrowd(IntFunction<String> input) throws IOException {
        for (int i = 0; i < CLIENTS; i++) {
            HttpTestConnection client = HttpTestConnection.to(sidecar.address());
            crowd.add(client);
            sendIfOpen(client, input.apply(i));
        }
    }

    private static void sendIfOpen(HttpTestConnection client, String input) {
        try {
            client.send(input);
        } catch (IOException e) {
            // The sidecar may have closed the connection already.
            return;
        }
    }

    /** Sends one request after another; returns the statuses other than 200 and the responses that came late. */
    private List<String> sendOtherRequests() throws Exception {
        List<String> failures = new ArrayList<>();
        long endNs = System.nanoTime() + CROWD_MS * 1_000_000L;
        while (System.nanoTime() < endNs) {
            long startNs = System.nanoTime();
            String result = sendRequest();
            long tookMs = (System.nanoTime() - startNs) / 1_000_000;
            if (!result.equals("200") || tookMs > MAX_RESPONSE_MS) {
                failures.add(result + " after " + tookMs + " ms");
            }
        }
        return failures;
    }

    private String sendRequest() {
        try (HttpTestConnection client = HttpTestConnection.to(sidecar.address())) {
            client.socket.setSoTimeout(2 * DEADLINE_MS);
            return "" + client.send(fixture.request("read", DEADLINE_MS)).read().status();
        } catch (IOException e) {
            return e.toString();
        }
    }

    private void assertServesWithin(int memoryMb) throws Exception {
        List<String> failures = sendOtherRequests();
        int peakMb = DeployedSidecar.memoryMb(sidecar, "VmHWM");
        assertTrue(sidecar.process.isAlive(), "the process runs: " + sidecar.log);
        assertFalse(sidecar.hasLogged("OutOfMemory"), "" + sidecar.log);
        assertEquals(List.of(), failures, "requests of another client");
        assertTrue(peakMb < memoryMb, peakMb + " MB of " + memoryMb);
    }

    /** Guards against heads that fit into the limit on their size and become many times as large as objects. */
    @ParameterizedTest
    @CsvSource({"192, 2600", "192, 3900", "96, 3900", "96, 99"})
    void headsOfManyFieldsStayWithinTheMemoryLimit(int memoryMb, int fields) throws Exception {
        start(memoryMb);
        connectCrowd(i -> "GET /api HTTP/1.1\r\n" + "a:\r\n".repeat(fields));
        assertServesWithin(memoryMb);
    }

    /** Guards against trailers, which have no limit of their own. */
    @ParameterizedTest
    @CsvSource({"192, 1900", "96, 3900"})
    void trailersOfManyFieldsStayWithinTheMemoryLimit(int memoryMb, int fields) throws Exception {
        start(memoryMb);
        connectCrowd(i -> fixture.request("order", DEADLINE_MS).split("Content-Length")[0]
                + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + "a:\r\n".repeat(fields));
        assertServesWithin(memoryMb);
    }

    /** Guards against pipelined requests that wait uncounted after the process was held up. */
    @ParameterizedTest
    @CsvSource({"192", "96"})
    void pipelinesAfterAStallStayWithinTheMemoryLimit(int memoryMb) throws Exception {
        start(memoryMb);
        connectCrowd(i -> "");
        signal("STOP");
        for (HttpTestConnection client : crowd) {
            sendIfOpen(client, pipeline());
        }
        signal("CONT");
        SidecarFixture.await("it serves again", () -> sendRequest().equals("200"));
        assertTrue(sidecar.process.isAlive(), "the process runs: " + sidecar.log);
        assertFalse(sidecar.hasLogged("OutOfMemory"), "" + sidecar.log);
        int peakMb = DeployedSidecar.memoryMb(sidecar, "VmHWM");
        assertTrue(peakMb < memoryMb, peakMb + " MB of " + memoryMb);
    }

    private String pipeline() {
        StringBuilder input = new StringBuilder();
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            String request = fixture.request("read", DEADLINE_MS);
            input.append(request, 0, request.length() - 2)
                    .append("a:b\r\n".repeat(90))
                    .append("\r\n");
        }
        return input.toString();
    }

    private void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(sidecar.process.pid()))
                .start()
                .waitFor();
    }

    /** Guards against large requests that stop half way and use up the memory or the endpoints' slots. */
    @Tag("known-red")
    @ParameterizedTest
    @CsvSource({"192", "96"})
    void uploadsThatStopHalfWayStayWithinTheMemoryLimit(int memoryMb) throws Exception {
        start(memoryMb);
        byte[] half = new byte[UPLOAD_BYTES / 2];
        Thread uploads = new Thread(
                () -> {
                    for (HttpTestConnection client : List.copyOf(crowd)) {
                        sendIfOpen(client, new String(half, StandardCharsets.ISO_8859_1));
                    }
                },
                "uploads");
        connectCrowd(i -> fixture.uploadHead(DEADLINE_MS, UPLOAD_BYTES));
        uploads.start();
        assertServesWithin(memoryMb);
        uploads.join();
    }
}
