package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Responses whose forwarding has begun when the process is told to end. */
@Timeout(60)
class ShutdownResponseTest {

    private static final int DEADLINE_MS = 5000;
    /** The earliest time at which SIGKILL can follow SIGTERM, with deadlines of 3 s and more. */
    private static final int EARLIEST_SIGKILL_MS = 3700;
    /** When the sidecar closes idle connections, after SIGTERM. */
    private static final int CLOSE_CONNECTIONS_MS = 2700;
    /** Requests that arrive this long after SIGTERM must have ended before SIGKILL. */
    private static final int LATE_REQUEST_MS = 1000;
    /** With pieces a second apart, none comes in the last 0.7 s of the drain, which ends 3.4 s after SIGTERM. */
    private static final int REQUEST_IN_PIECES_MS = 1550;

    private static final int PIECES = 45;
    private static final int PIECE_INTERVAL_MS = 100;
    private static final String PIECE = "x".repeat(4000);
    private static final int LARGE_BYTES = 8_000_000;
    /** More than the buffers of the connections hold. */
    private static final int VERY_LARGE_BYTES = 30_000_000;

    private static final int LARGE_PIECES = 4;
    private static final String LARGE_PIECE = "x".repeat(130_000);
    private static final int LARGE_PIECE_INTERVAL_MS = 1000;

    private final CountDownLatch responding = new CountDownLatch(1);
    private SidecarFixture fixture;
    private Thread shutdown;
    private long shutdownStartNs;

    @BeforeEach
    void createShutdown() {
        shutdown = new Thread(() -> fixture.sidecar.shutdownGracefully(), "shutdown");
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a shutdown that cuts off a response which its endpoint still sends. */
    @Test
    void responseThatOutlastsTheDrainArrivesWhole() throws Exception {
        start((connection, request) -> {
            connection.send(responseHead(PIECES * PIECE.length()));
            for (int i = 0; i < PIECES; i++) {
                connection.send(PIECE);
                responding.countDown();
                TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
            }
        });
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            responding.await();
            startShutdown();
            assertEquals(PIECES * PIECE.length(), client.read().bytes().length);
        }
        assertTrue(elapsedMs() > EARLIEST_SIGKILL_MS, "the response outlasts the drain");
        shutdown.join();
    }

    /** Guards against a process that ends while a client has not read its response completely. */
    @Test
    void responseThatItsClientReadsLateArrivesWhole() throws Exception {
        start((connection, request) -> {
            connection.send(responseHead(LARGE_BYTES));
            responding.countDown();
            connection.socket.getOutputStream().write(new byte[LARGE_BYTES]);
        });
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            responding.await();
            startShutdown();
            sleepUntil(EARLIEST_SIGKILL_MS);
            assertEquals(LARGE_BYTES, client.read().bytes().length);
        }
        shutdown.join();
    }

    /** Guards against a shutdown that closes a connection on which part of a request has been read. */
    @Test
    void requestThatArrivesInPiecesDuringTheShutdownIsServed() throws Exception {
        start((connection, request) -> StubEndpoint.respond(connection, 200, "", "served"));
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS)).read();
            String request = fixture.request("read", DEADLINE_MS);
            startShutdown();
            sleepUntil(CLOSE_CONNECTIONS_MS - PIECE_INTERVAL_MS);
            client.send(request.substring(0, request.length() / 2));
            sleepUntil(CLOSE_CONNECTIONS_MS + PIECE_INTERVAL_MS);
            client.send(request.substring(request.length() / 2));
            assertEquals("served", client.read().body());
        }
        shutdown.join();
    }

    /** Guards against a shutdown that takes an endpoint's pause between two pieces of a response for its end. */
    @Test
    void responseToALateRequestInPiecesArrivesWhole() throws Exception {
        start((connection, request) -> {
            connection.send(responseHead(LARGE_PIECES * LARGE_PIECE.length()));
            for (int i = 0; i < LARGE_PIECES; i++) {
                connection.send(LARGE_PIECE);
                TimeUnit.MILLISECONDS.sleep(LARGE_PIECE_INTERVAL_MS);
            }
        });
        try (HttpTestConnection client = fixture.client()) {
            startShutdown();
            sleepUntil(REQUEST_IN_PIECES_MS);
            client.send(fixture.request("read", DEADLINE_MS));
            assertEquals(LARGE_PIECES * LARGE_PIECE.length(), client.read().bytes().length);
        }
        assertTrue(elapsedMs() > EARLIEST_SIGKILL_MS, "the response outlasts the drain");
        shutdown.join();
    }

    /** Like the test above, for a client that reads nothing while the shutdown looks at the responses. */
    @Test
    void responseToALateRequestThatItsClientReadsLateArrivesWhole() throws Exception {
        start((connection, request) -> {
            connection.send(responseHead(VERY_LARGE_BYTES));
            connection.socket.getOutputStream().write(new byte[VERY_LARGE_BYTES]);
        });
        try (HttpTestConnection client = fixture.client()) {
            startShutdown();
            sleepUntil(LATE_REQUEST_MS);
            client.send(fixture.request("read", DEADLINE_MS));
            sleepUntil(EARLIEST_SIGKILL_MS);
            assertEquals(VERY_LARGE_BYTES, client.read().bytes().length);
        }
        shutdown.join();
    }

    /**
     * Guards against a stalled response that SIGKILL finds unfinished although its request came long after SIGTERM: it
     * is truncated in time, which its client can detect.
     */
    @Test
    void stalledResponseToALateRequestEndsBeforeSigkill() throws Exception {
        start((connection, request) -> {
            connection.send(responseHead(LARGE_BYTES));
            connection.send("x".repeat(100_000));
            connection.awaitEnd();
        });
        try (HttpTestConnection client = fixture.client()) {
            startShutdown();
            sleepUntil(LATE_REQUEST_MS);
            client.send(fixture.request("read", DEADLINE_MS));
            assertThrows(EOFException.class, client::read);
            assertTrue(elapsedMs() < EARLIEST_SIGKILL_MS, "ended " + elapsedMs() + " ms after the start");
        }
        shutdown.join();
    }

    private void start(StubEndpoint.RequestHandler handler) throws IOException {
        fixture = new SidecarFixture(new StubEndpoint(handler)).start();
    }

    private static String responseHead(int bodyBytes) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
    }

    private void startShutdown() {
        shutdownStartNs = System.nanoTime();
        shutdown.start();
    }

    private long elapsedMs() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - shutdownStartNs);
    }

    private void sleepUntil(long sinceShutdownMs) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(sinceShutdownMs - elapsedMs());
    }
}
