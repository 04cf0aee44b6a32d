package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that read late: their responses arrive complete, or truncated in a way that the client can detect. */
@Timeout(60)
class SlowClientsTest {

    private static final int DEADLINE_MS = 8000;
    private static final int RECEIVE_BYTES = 16 * 1024;
    private static final String RESPONSE_BODY = "x".repeat(60_000);
    private static final int SHORT_DEADLINE_MS = 1000;
    /** The time after which a response without progress is aborted. */
    private static final int STALL_MS = 10_000;
    /** The interval of the checks for progress, and some time for the transfer until it stalls. */
    private static final int STALL_SLACK_MS = 1000 + 1500;

    /** How long an endpoint gives a response before it pauses, so that the pause covers 10 to 20 s after the start. */
    private static final int BEFORE_PAUSE_MS = 9000;

    private static final int PAUSE_MS = 12_000;

    /** The longest time for which an endpoint may hang. */
    private static final int LONGEST_HANG_MS = 25_000;

    /** Lets the send buffer of the connection grow before the client begins to read slowly. */
    private static final int FAST_READ_BYTES = 4_000_000;

    private static final int STEADY_RESPONSE_BYTES = 12_000_000;

    private static final int STEADY_READ_BYTES = 16_000;
    private static final int STEADY_READ_INTERVAL_MS = 250;
    private static final int STEADY_READS = 120;

    private static final int LAST_CHUNK_BYTES = 9_001;
    private static final int LAST_CHUNKS = 600;
    /** Longer than the sidecar reads from a connection after its last response. */
    private static final long BEYOND_LINGER_MS = 700;
    /** A response body large enough to fill the buffers of a connection. */
    private static final String LARGE_BODY = "y".repeat(40_000);
    /** More responses than the buffers of any connection hold. */
    private static final int MAX_RESPONSES = 1000;
    /** The limit on client connections with the smallest number of descriptors. */
    private static final int MAX_CONNECTIONS = 8;
    /** Longer than the idle time-out of a connection. */
    private static final long BEYOND_IDLE_TIMEOUT_MS = 5500;

    private SidecarFixture fixture;
    private final List<HttpTestConnection> clients = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (HttpTestConnection client : clients) {
            client.close();
        }
        fixture.close();
    }

    private HttpTestConnection client() throws IOException {
        HttpTestConnection client = fixture.client();
        clients.add(client);
        return client;
    }

    private HttpTestConnection slowClient() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BYTES);
        socket.connect(fixture.sidecar.address());
        HttpTestConnection client = new HttpTestConnection(socket);
        clients.add(client);
        return client;
    }

    private boolean isRequestActive() {
        try {
            return !fixture.callAdmin("GET", "/v1/metrics").body().contains("concurrent=0\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends requests without reading until the last response no longer fits; returns how many were sent. */
    private int fillBuffers(HttpTestConnection client) throws Exception {
        for (int sent = 1; sent < MAX_RESPONSES; sent++) {
            int requests = sent;
            client.send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.await(
                    "the response is read from the endpoint",
                    () -> fixture.attempts() == requests && fixture.openRequests() == 0);
            fixture.awaitReusableConnections();
            if (isRequestActive()) {
                return sent;
            }
        }
        throw new AssertionError("the connection's buffers never filled up");
    }

    private static void assertComplete(HttpTestConnection client, int responses) throws IOException {
        for (int i = 0; i < responses; i++) {
            assertEquals(RESPONSE_BODY.length(), client.read().bytes().length, "response " + i + " of " + responses);
        }
    }

    // ---- responses that are still being written ----

    /** Guards against a connection that is evicted as idle while a response is written to it. */
    @Test
    void connectionWithUnwrittenResponseIsNotEvicted() throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", RESPONSE_BODY));
        fixture.sockets = 1;
        fixture.start();
        HttpTestConnection slow = slowClient();
        int responses = fillBuffers(slow);
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            assertEquals(
                    200,
                    client().send(fixture.request("read", DEADLINE_MS)).read().status());
        }
        assertComplete(slow, responses);
    }

    /** Like the test above, with the idle time-out. */
    @Test
    void connectionWithUnwrittenResponseIsNotIdle() throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", RESPONSE_BODY)).start();
        HttpTestConnection slow = slowClient();
        int responses = fillBuffers(slow);
        TimeUnit.MILLISECONDS.sleep(BEYOND_IDLE_TIMEOUT_MS);
        assertComplete(slow, responses);
        assertEquals(
                200,
                slow.send(fixture.request("read", DEADLINE_MS)).read().status(),
                "the connection still serves requests");
    }

    /** Like the test above, with a drain and with a shutdown, both of which close idle connections. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void drainWaitsForUnwrittenResponses(boolean shutdown) throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", RESPONSE_BODY)).start();
        HttpTestConnection slow = slowClient();
        int responses = fillBuffers(slow);
        HttpTestConnection idle = client();
        assertEquals(200, idle.send(fixture.request("read", DEADLINE_MS)).read().status());
        Thread stop = new Thread(fixture.sidecar::shutdownGracefully);
        if (shutdown) {
            stop.start();
        } else {
            assertEquals(200, fixture.callAdmin("PUT", "/v1/sidecar/drain").status());
        }
        idle.awaitEnd();
        assertComplete(slow, responses);
        slow.awaitEnd();
        stop.join();
    }

    /**
     * Guards against a response written into another: pipelined requests are read while a response is being written.
     */
    @Test
    void responseIsNotWrittenIntoAnother() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch second = new CountDownLatch(1);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    boolean first = request.headers().get("x-request-id").equals("r0");
                    if (first) {
                        release.await();
                    }
                    StubEndpoint.respond(connection, 200, "", first ? "first" : LARGE_BODY);
                    second.countDown();
                }))
                .start();
        String other = "GET /other HTTP/1.1\r\nHost: x\r\n\r\n";
        HttpTestConnection client = client();
        client.send(fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS) + other.repeat(6));
        second.await();
        SidecarFixture.await("the second response is read from the endpoint", () -> fixture.openRequests() == 1);
        client.send(other);
        fixture.awaitReusableConnections();
        release.countDown();
        assertEquals("first", client.read().body());
        HttpTestConnection.Message large = client.read();
        assertEquals(200, large.status());
        assertArrayEquals(LARGE_BODY.getBytes(StandardCharsets.ISO_8859_1), large.bytes());
        for (int i = 0; i < 7; i++) {
            assertEquals(404, client.read().status(), "response " + i + " after the large one");
        }
        assertEquals(
                200,
                client.send(fixture.request("read", DEADLINE_MS)).read().status(),
                "the connection still serves requests");
    }

    // ---- truncated responses ----

    /** Starts a sidecar and a response without an end; returns its client, which has read the head only. */
    private HttpTestConnection startEndlessStream() throws IOException {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while (true) {
                        connection.send("4000\r\n" + "x".repeat(0x4000) + "\r\n");
                    }
                }))
                .start();
        HttpTestConnection client = slowClient();
        client.send(fixture.request("read", DEADLINE_MS));
        assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
        return client;
    }

    /** Guards against a response that a client does not read being kept for up to twice the stall time-out. */
    @Test
    void unreadStreamIsGivenUpAtTheStallTimeout() throws Exception {
        HttpTestConnection client = startEndlessStream();
        long startNs = System.nanoTime();
        SidecarFixture.await(
                "the attempt is cancelled", () -> fixture.endpoints.get(0).open.get() == 0);
        long endedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
        assertTrue(endedMs >= STALL_MS && endedMs <= STALL_MS + STALL_SLACK_MS, "given up after " + endedMs + " ms");
        assertTruncatedBetweenChunks(client);
    }

    /** Guards against a shutdown that truncates a streamed response within a chunk. */
    @Test
    void stopTruncatesBetweenChunks() throws Exception {
        HttpTestConnection client = startEndlessStream();
        Thread stop = new Thread(fixture.sidecar::shutdownGracefully);
        stop.start();
        SidecarFixture.await(
                "the attempt is cancelled", () -> fixture.endpoints.get(0).open.get() == 0);
        assertTruncatedBetweenChunks(client);
        stop.join();
    }

    /** Like the test above, with unread input behind the request, which must not turn the close into a reset. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 40})
    void truncatedResponseArrivesDespiteUnreadInput(int pipelined) throws Exception {
        CountDownLatch truncate = new CountDownLatch(1);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (int i = 0; i < 8; i++) {
                        connection.send("4000\r\n" + "x".repeat(0x4000) + "\r\n");
                    }
                    truncate.await();
                    connection.reset();
                }))
                .start();
        HttpTestConnection client = slowClient();
        client.send(fixture.request("read", DEADLINE_MS));
        assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
        for (int i = 0; i < pipelined; i++) {
            client.send(fixture.request("order", DEADLINE_MS));
        }
        fixture.awaitReusableConnections();
        truncate.countDown();
        SidecarFixture.await("the response is truncated", () -> !isRequestActive());
        assertTruncatedBetweenChunks(client);
    }

    /** Like the test above, for an endpoint that stalls within a chunk of its own, to which no deadline applies. */
    @Test
    void stalledStreamIsTruncatedBetweenChunks() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send(
                            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + "x".repeat(0x11000));
                    connection.socket.setSoTimeout(2 * LONGEST_HANG_MS);
                    connection.awaitEnd();
                }))
                .start();
        HttpTestConnection client = slowClient();
        client.socket.setSoTimeout(2 * LONGEST_HANG_MS);
        long startNs = System.nanoTime();
        client.send(fixture.request("read", SHORT_DEADLINE_MS));
        assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
        assertTruncatedBetweenChunks(client);
        assertTrue(
                System.nanoTime() - startNs > TimeUnit.MILLISECONDS.toNanos(LONGEST_HANG_MS),
                "not while the endpoint may go on");
    }

    /**
     * Guards against a client that reads slowly but steadily being taken for one that has stopped: its large send
     * buffer is reported as writable more seldom than the stall time-out.
     */
    @Test
    void steadilyReadResponseArrivesWhole() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: " + STEADY_RESPONSE_BYTES + "\r\n\r\n");
                    connection.socket.getOutputStream().write(new byte[STEADY_RESPONSE_BYTES]);
                }))
                .start();
        HttpTestConnection client = client();
        client.send(fixture.request("read", DEADLINE_MS));
        client.readHead();
        int readBytes = client.in.readNBytes(FAST_READ_BYTES).length;
        for (int i = 0; i < STEADY_READS; i++) {
            TimeUnit.MILLISECONDS.sleep(STEADY_READ_INTERVAL_MS);
            readBytes += client.in.readNBytes(STEADY_READ_BYTES).length;
        }
        readBytes += client.in.readNBytes(STEADY_RESPONSE_BYTES).length;
        assertEquals(STEADY_RESPONSE_BYTES, readBytes);
    }

    /** Guards against a response that is cut off because its endpoint pauses across two checks for progress. */
    @Test
    void streamContinuesAfterAPauseOfItsEndpoint() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000));
                    TimeUnit.MILLISECONDS.sleep(BEFORE_PAUSE_MS);
                    connection.send("x".repeat(50_000));
                    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
                    connection.send("x".repeat(50_000));
                }))
                .start();
        assertEquals(
                200_000,
                client().send(fixture.request("read", DEADLINE_MS)).read().bytes().length);
    }

    /** Guards against a response that is cut off while its endpoint hangs in the middle of it. */
    @Test
    void streamContinuesAfterAHangOfItsEndpoint() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + "x".repeat(100_000));
                    TimeUnit.MILLISECONDS.sleep(LONGEST_HANG_MS);
                    connection.send("x".repeat(100_000));
                }))
                .start();
        HttpTestConnection client = client();
        client.socket.setSoTimeout(2 * LONGEST_HANG_MS);
        assertEquals(
                200_000,
                client.send(fixture.request("read", DEADLINE_MS)).read().bytes().length);
    }

    /**
     * Guards against a truncated last response on a connection if it is read late and more input follows its request.
     */
    @Test
    void lastResponseOnAConnectionArrivesComplete() throws Exception {
        String body = "x".repeat(LAST_CHUNK_BYTES);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (int i = 0; i < LAST_CHUNKS; i++) {
                        connection.send(Integer.toHexString(LAST_CHUNK_BYTES) + "\r\n" + body + "\r\n");
                    }
                    connection.send("0\r\n\r\n");
                }))
                .start();
        HttpTestConnection client = slowClient();
        client.send(fixture.request("read", DEADLINE_MS).replace("Host:", "Connection: close\r\nHost:")
                + fixture.request("order", DEADLINE_MS));
        TimeUnit.MILLISECONDS.sleep(BEYOND_LINGER_MS);
        HttpTestConnection.Message response = client.read();
        assertEquals("close", response.headers().get("connection"));
        assertEquals(LAST_CHUNK_BYTES * LAST_CHUNKS, response.bytes().length);
        assertEquals(-1, client.in.read());
    }

    /** Reads complete chunks until the connection ends without the terminating chunk. */
    private static void assertTruncatedBetweenChunks(HttpTestConnection client) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = client.in.read(); b >= 0; b = client.in.read()) {
            line.append((char) b);
            if (line.toString().endsWith("\r\n")) {
                int size = Integer.parseInt(line.toString().trim(), 16);
                assertTrue(size > 0, "the truncated response has a terminating chunk");
                assertEquals(size, client.in.readNBytes(size).length, "truncated within a chunk");
                assertEquals("\r\n", new String(client.in.readNBytes(2), StandardCharsets.ISO_8859_1));
                line.setLength(0);
            }
        }
        assertEquals("", line.toString(), "truncated within a line");
    }
}
