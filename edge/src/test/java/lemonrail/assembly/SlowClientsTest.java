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

/** Clients that read their responses late: these arrive whole, or end where the client can tell. */
@Timeout(60)
class SlowClientsTest {

    private static final int DEADLINE_MS = 8000;
    private static final int RECEIVE_BYTES = 16 * 1024;
    private static final String ANSWER = "x".repeat(60_000);
    private static final int SHORT_DEADLINE_MS = 1000;
    /** A response may make no progress for this time. */
    private static final int STALL_MS = 10_000;

    private static final int LAST_BYTES = 9_001;
    private static final int LAST_PARTS = 600;
    /** Longer than a connection is read after its last response. */
    private static final long PAST_LINGER_MS = 700;
    /** Large enough to fill a connection's buffers. */
    private static final String FILLING = "y".repeat(40_000);
    /** More responses than any connection's buffers hold. */
    private static final int MOST_ANSWERS = 1000;
    /** The bound on connections where hardly any descriptor is left. */
    private static final int ROOM = 8;
    /** Longer than a connection may be idle. */
    private static final long PAST_IDLE_MS = 5500;

    private SidecarFixture rig;
    private final List<HttpTestConnection> clients = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (HttpTestConnection client : clients) {
            client.close();
        }
        rig.close();
    }

    private HttpTestConnection client() throws IOException {
        HttpTestConnection client = rig.client();
        clients.add(client);
        return client;
    }

    private HttpTestConnection slowClient() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(RECEIVE_BYTES);
        socket.connect(rig.sidecar.address());
        HttpTestConnection client = new HttpTestConnection(socket);
        clients.add(client);
        return client;
    }

    private boolean isAnswering() {
        try {
            return !rig.callAdmin("GET", "/v1/metrics").body().contains("concurrent=0\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends requests without reading until the last response no longer fits; returns how many were sent. */
    private int fill(HttpTestConnection client) throws Exception {
        for (int asked = 1; asked < MOST_ANSWERS; asked++) {
            int now = asked;
            client.send(rig.request("read", DEADLINE_MS));
            SidecarFixture.await("it is answered", () -> rig.attempts() == now && rig.openRequests() == 0);
            rig.settle();
            if (isAnswering()) {
                return asked;
            }
        }
        throw new AssertionError("the connection takes all");
    }

    private static void assertWhole(HttpTestConnection client, int answers) throws IOException {
        for (int i = 0; i < answers; i++) {
            assertEquals(ANSWER.length(), client.read().bytes().length, "answer " + i + " of " + answers);
        }
    }

    // ---- responses that are still being written ----

    /** A connection must not count as idle while a response is written to it. */
    @Test
    void connectionWithUnwrittenResponseIsNotEvicted() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", ANSWER));
        rig.sockets = 1;
        rig.start();
        HttpTestConnection slow = slowClient();
        int answers = fill(slow);
        for (int i = 0; i < ROOM; i++) {
            assertEquals(
                    200, client().send(rig.request("read", DEADLINE_MS)).read().status());
        }
        assertWhole(slow, answers);
    }

    /** The same with the idle timeout. */
    @Test
    void connectionWithUnwrittenResponseIsNotIdle() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", ANSWER)).start();
        HttpTestConnection slow = slowClient();
        int answers = fill(slow);
        TimeUnit.MILLISECONDS.sleep(PAST_IDLE_MS);
        assertWhole(slow, answers);
        assertEquals(200, slow.send(rig.request("read", DEADLINE_MS)).read().status(), "it goes on");
    }

    /** The same with a drain and with a stop, both of which close idle connections. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void drainWaitsForUnwrittenResponses(boolean stops) throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", ANSWER)).start();
        HttpTestConnection slow = slowClient();
        int answers = fill(slow);
        HttpTestConnection idle = client();
        assertEquals(200, idle.send(rig.request("read", DEADLINE_MS)).read().status());
        Thread stop = new Thread(rig.sidecar::shutdownGracefully);
        if (stops) {
            stop.start();
        } else {
            assertEquals(200, rig.callAdmin("PUT", "/v1/sidecar/drain").status());
        }
        idle.awaitEnd();
        assertWhole(slow, answers);
        slow.awaitEnd();
        stop.join();
    }

    /** Requests held back are read while a response is written; theirs must not be written into it. */
    @Test
    void responseIsNotWrittenIntoAnother() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch second = new CountDownLatch(1);
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    boolean first = request.headers().get("x-request-id").equals("r0");
                    if (first) {
                        release.await();
                    }
                    StubEndpoint.respond(wire, 200, "", first ? "first" : FILLING);
                    second.countDown();
                }))
                .start();
        String other = "GET /other HTTP/1.1\r\nHost: x\r\n\r\n";
        HttpTestConnection client = client();
        client.send(rig.request("read", DEADLINE_MS) + rig.request("read", DEADLINE_MS) + other.repeat(6));
        second.await();
        SidecarFixture.await("the second is answered", () -> rig.openRequests() == 1);
        client.send(other);
        rig.settle();
        release.countDown();
        assertEquals("first", client.read().body());
        HttpTestConnection.Message filling = client.read();
        assertEquals(200, filling.status());
        assertArrayEquals(FILLING.getBytes(StandardCharsets.ISO_8859_1), filling.bytes());
        for (int i = 0; i < 7; i++) {
            assertEquals(404, client.read().status(), "answer " + i + " behind it");
        }
        assertEquals(200, client.send(rig.request("read", DEADLINE_MS)).read().status(), "it goes on");
    }

    // ---- answers that are cut ----

    /** A stop while a response is streamed must not end it within a chunk. */
    @Test
    void stopTruncatesBetweenChunks() throws Exception {
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while (true) {
                        wire.send("4000\r\n" + "x".repeat(0x4000) + "\r\n");
                    }
                }))
                .start();
        HttpTestConnection client = slowClient();
        client.send(rig.request("read", DEADLINE_MS));
        assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
        Thread stop = new Thread(rig.sidecar::shutdownGracefully);
        stop.start();
        SidecarFixture.await("it is given up", () -> rig.endpoints.get(0).open.get() == 0);
        assertTruncatedBetweenChunks(client);
        stop.join();
    }

    /** The same with unread input behind the request, which must not make the close a reset. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 40})
    void truncatedResponseArrivesThoughMoreWasSent(int behind) throws Exception {
        CountDownLatch cut = new CountDownLatch(1);
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (int i = 0; i < 8; i++) {
                        wire.send("4000\r\n" + "x".repeat(0x4000) + "\r\n");
                    }
                    cut.await();
                    wire.reset();
                }))
                .start();
        HttpTestConnection client = slowClient();
        client.send(rig.request("read", DEADLINE_MS));
        assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
        for (int i = 0; i < behind; i++) {
            client.send(rig.request("order", DEADLINE_MS));
        }
        rig.settle();
        cut.countDown();
        SidecarFixture.await("it is cut", () -> !isAnswering());
        assertTruncatedBetweenChunks(client);
    }

    /** The same where the endpoint stalls within a chunk of its own, to which no deadline applies. */
    @Test
    void stalledStreamIsTruncatedBetweenChunks() throws Exception {
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + "x".repeat(0x11000));
                    wire.awaitEnd();
                }))
                .start();
        HttpTestConnection client = slowClient();
        long began = System.nanoTime();
        client.send(rig.request("read", SHORT_DEADLINE_MS));
        assertEquals("chunked", client.readHead().headers().get("transfer-encoding"));
        assertTruncatedBetweenChunks(client);
        assertTrue(System.nanoTime() - began > TimeUnit.MILLISECONDS.toNanos(STALL_MS), "at its limit");
    }

    /** The last response on a connection arrives whole, though read late and with more input behind. */
    @Test
    void lastResponseOnAConnectionArrivesWhole() throws Exception {
        String body = "x".repeat(LAST_BYTES);
        rig = new SidecarFixture(new StubEndpoint((wire, request) -> {
                    wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    for (int i = 0; i < LAST_PARTS; i++) {
                        wire.send(Integer.toHexString(LAST_BYTES) + "\r\n" + body + "\r\n");
                    }
                    wire.send("0\r\n\r\n");
                }))
                .start();
        HttpTestConnection client = slowClient();
        client.send(rig.request("read", DEADLINE_MS).replace("Host:", "Connection: close\r\nHost:")
                + rig.request("order", DEADLINE_MS));
        TimeUnit.MILLISECONDS.sleep(PAST_LINGER_MS);
        HttpTestConnection.Message answer = client.read();
        assertEquals("close", answer.headers().get("connection"));
        assertEquals(LAST_BYTES * LAST_PARTS, answer.bytes().length);
        assertEquals(-1, client.in.read());
    }

    /** Reads whole chunks to the end of the connection, without the last chunk. */
    private static void assertTruncatedBetweenChunks(HttpTestConnection client) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = client.in.read(); b >= 0; b = client.in.read()) {
            line.append((char) b);
            if (line.toString().endsWith("\r\n")) {
                int size = Integer.parseInt(line.toString().trim(), 16);
                assertTrue(size > 0, "it is not whole, and looks it");
                assertEquals(size, client.in.readNBytes(size).length, "cut within a chunk");
                assertEquals("\r\n", new String(client.in.readNBytes(2), StandardCharsets.ISO_8859_1));
                line.setLength(0);
            }
        }
        assertEquals("", line.toString(), "cut within a line");
    }
}
