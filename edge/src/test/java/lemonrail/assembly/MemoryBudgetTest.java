package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The budget of what requests and responses hold: nothing stays in it, and one client can't use it up. */
@Timeout(60)
class MemoryBudgetTest {

    private static final int DEADLINE_MS = 4000;
    private static final int REPEATS = 40;
    private static final int PIPELINED_HEADS = 500;
    /** What one client may hold with heads that are not processed. */
    private static final long MAX_HELD_KB = 64;

    private SidecarFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    switch (request.startLine().split("[ ?]")[2]) {
                        case "hang" -> connection.awaitEnd();
                        case "reset" -> {
                            connection.send("HTTP/1.1 200 OK\r\n\r\n" + "x".repeat(9000));
                            connection.reset();
                        }
                        case "spoilt" ->
                            connection
                                    .send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1f\r\n" + "x".repeat(31)
                                            + "\r\nzz\r\n")
                                    .awaitEnd();
                        default -> StubEndpoint.respond(connection, 200, "", "x".repeat(40_000));
                    }
                }))
                .start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private long heldKb() {
        try {
            return fixture.callAdmin("GET", "/v1/metrics")
                    .body()
                    .lines()
                    .filter(line -> line.contains("memory.held_kb="))
                    .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                    .findFirst()
                    .orElseThrow();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private String request(String requestClass, String query) {
        return fixture.request(requestClass, DEADLINE_MS).replace("q=1", query);
    }

    /** Returns a request that leaves something half done in each of the connection's parts. */
    private String input(String shape) {
        return switch (shape) {
            case "served" -> request("read", "ok");
            case "served with a body" -> fixture.uploadHead(DEADLINE_MS, 30_000) + "u".repeat(30_000);
            case "streamed body" -> fixture.uploadHead(DEADLINE_MS, 200_000) + "u".repeat(200_000);
            case "half a body" -> fixture.uploadHead(DEADLINE_MS, 60_000) + "u".repeat(50_000);
            case "half a streamed body" -> fixture.uploadHead(DEADLINE_MS, 400_000) + "u".repeat(150_000);
            case "half a head" -> "GET /api HTTP/1.1\r\n" + "Field: value\r\n".repeat(90);
            case "too many fields" -> "GET /api HTTP/1.1\r\n" + "a:\r\n".repeat(200);
            case "half the trailers" ->
                fixture.uploadHead(DEADLINE_MS, 1).replace("Content-Length: 1", "Transfer-Encoding: chunked")
                        + "1\r\nu\r\n0\r\n" + "a: b\r\n".repeat(80);
            case "whole trailers" ->
                fixture.uploadHead(DEADLINE_MS, 1).replace("Content-Length: 1", "Transfer-Encoding: chunked")
                        + "1\r\nu\r\n0\r\n" + "a: b\r\n".repeat(80) + "\r\n";
            case "pipeline" ->
                request("read", "hang").repeat(3) + request("read", "ok").repeat(12);
            case "reset by the endpoint" -> request("order", "reset");
            case "spoilt by the endpoint" -> request("order", "spoilt");
            default -> "noise\r\n\r\n";
        };
    }

    /** Guards against bytes that stay counted after their request has ended, in whatever way. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "served",
                "served with a body",
                "streamed body",
                "half a body",
                "half a streamed body",
                "half a head",
                "too many fields",
                "half the trailers",
                "whole trailers",
                "pipeline",
                "reset by the endpoint",
                "spoilt by the endpoint",
                "noise"
            })
    void nothingIsHeldAfterTheRequests(String shape) throws Exception {
        for (int i = 0; i < REPEATS; i++) {
            try (HttpTestConnection client = fixture.client()) {
                client.send(input(shape));
                if (i % 2 == 0) {
                    client.socket.setSoTimeout(100);
                    readIfAnswered(client);
                }
            }
        }
        SidecarFixture.await("nothing is held after: " + shape, () -> heldKb() == 0 && fixture.openRequests() == 0);
    }

    private static void readIfAnswered(HttpTestConnection client) {
        try {
            client.read();
        } catch (IOException e) {
            // The shape has no response, or not one within the time-out.
            return;
        }
    }

    /** Guards against a client that uses up the budget with requests behind one that ends its connection. */
    @Test
    void headsBehindTheLastRequestAreNotHeld() throws Exception {
        String last = request("read", "hang").replace("Host:", "Connection: close\r\nHost:");
        List<String> heads = new ArrayList<>();
        for (int i = 0; i < PIPELINED_HEADS; i++) {
            heads.add("GET /api HTTP/1.1\r\n" + "a: b\r\n".repeat(90) + "\r\n");
        }
        try (HttpTestConnection client = fixture.client()) {
            client.send(last);
            SidecarFixture.await("the request is forwarded", () -> fixture.attempts() == 1);
            for (String head : heads) {
                client.send(head);
            }
            TimeUnit.MILLISECONDS.sleep(200);
            long heldKb = heldKb();
            assertTrue(heldKb < MAX_HELD_KB, heldKb + " KB are held by one client");
            assertEquals("served", served());
        }
    }

    private String served() throws IOException {
        return fixture.sendRequest("read", DEADLINE_MS).status() == 200 ? "served" : "not served";
    }
}
