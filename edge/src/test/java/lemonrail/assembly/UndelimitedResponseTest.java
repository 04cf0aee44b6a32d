package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Responses of endpoints with neither a length nor chunks, which end with the connection (RFC 9112, section 6.3). */
@Timeout(60)
class UndelimitedResponseTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final int DEADLINE_MS = 4000;
    private static final int LUMPS = 8;
    private static final int LUMP_INTERVAL_MS = 100;
    private static final int LARGE_BYTES = 140_000;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static byte[] random(int bytes) {
        byte[] body = new byte[bytes];
        new Random(bytes).nextBytes(body);
        return body;
    }

    private static void sendInLumps(HttpTestConnection connection, byte[] body) throws Exception {
        connection.send(HEAD);
        for (int i = 0; i < LUMPS; i++) {
            int from = body.length * i / LUMPS;
            int to = body.length * (i + 1) / LUMPS;
            connection.socket.getOutputStream().write(Arrays.copyOfRange(body, from, to));
            TimeUnit.MILLISECONDS.sleep(LUMP_INTERVAL_MS);
        }
    }

    /** Guards against responses that are rejected at their head because only the end of the connection ends them. */
    @ParameterizedTest
    @CsvSource({"read, 5", "order, 5", "read, 60000", "order, 101031", "read, 140000", "order, 3000000"})
    void responseThatEndsWithTheConnectionIsForwarded(String requestClass, int bytes) throws Exception {
        byte[] body = random(bytes);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    sendInLumps(connection, body);
                    connection.close();
                }))
                .start();
        try (HttpTestConnection client = fixture.client()) {
            for (int i = 0; i < 2; i++) {
                HttpTestConnection.Message response =
                        client.send(fixture.request(requestClass, DEADLINE_MS)).read();
                assertEquals(200, response.status());
                assertArrayEquals(body, response.bytes());
            }
        }
        assertEquals(2, fixture.attempts(), "each request was sent once, on a connection of its own");
    }

    /** Guards against a reset that is taken for the end of a response. */
    @ParameterizedTest
    @CsvSource({"order, 502", "read, 200"})
    void resetIsNoEndOfASmallResponse(String requestClass, int status) throws Exception {
        AtomicInteger requests = new AtomicInteger();
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    if (requests.incrementAndGet() == 1) {
                        connection.send(HEAD + "first");
                        TimeUnit.MILLISECONDS.sleep(LUMP_INTERVAL_MS);
                        connection.reset();
                    } else {
                        StubEndpoint.respond(connection, 200, "", "second");
                    }
                }))
                .start();
        HttpTestConnection.Message response = fixture.sendRequest(requestClass, DEADLINE_MS);
        assertEquals(status, response.status());
        assertEquals(status == 200 ? "second" : "failed\n", response.body());
    }

    /** Guards against a response that looks complete to its client although its endpoint has reset the connection. */
    @Test
    void resetTruncatesALargeResponse() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    sendInLumps(connection, random(LARGE_BYTES));
                    connection.reset();
                }))
                .start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            assertThrows(EOFException.class, client::read);
        }
    }

    /** Guards against a client that waits without end, or gets half a response as a whole one. */
    @Test
    void responseThatDoesNotEndFailsByTheDeadline() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint(
                        (connection, request) -> connection.send(HEAD + "hello").awaitEnd()))
                .start();
        long startNs = System.nanoTime();
        assertEquals(502, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue((System.nanoTime() - startNs) / 1e6 < DEADLINE_MS, "the failure comes before the deadline");
        SidecarFixture.await(
                "the connection is closed", () -> fixture.endpoints.get(0).open.get() == 0);
        assertEquals(1, fixture.attempts());
    }

    /** Guards against a request that is not tried again because the rejection that it got has no length. */
    @Test
    void rejectionWithoutALengthIsRetried() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    if (requests.incrementAndGet() == 1) {
                        connection.send("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n\r\nfull");
                        connection.close();
                    } else {
                        StubEndpoint.respond(connection, 200, "", "served");
                    }
                }))
                .start();
        assertEquals("served", fixture.sendRequest("order", DEADLINE_MS).body());
    }
}
