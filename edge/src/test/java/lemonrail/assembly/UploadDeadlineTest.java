package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A large request gets its final response in time, whatever the endpoint does with the request's body. */
@Timeout(60)
class UploadDeadlineTest {

    private static final int DEADLINE_MS = 1500;
    private static final int LONG_DEADLINE_MS = 8000;
    /** An upload of which an endpoint takes nothing for this time is given up. */
    private static final int STALL_MS = 4000;

    private static final int STALL_CHECK_INTERVAL_MS = 500;
    /** How much later than the deadline a final response may come. */
    private static final int LATE_RESPONSE_SLACK_MS = 550;
    /** More than the buffers of the endpoint's connection take, and less than those of both connections. */
    private static final int BODY_BYTES = 4 * 1024 * 1024;

    private static final int ENDPOINT_RECEIVE_BUFFER_BYTES = 32 * 1024;
    private static final int TAKEN_BYTES = 256 * 1024;
    private static final int SLOW_PIECE_BYTES = 32 * 1024;
    private static final int SLOW_PIECE_INTERVAL_MS = 50;
    /** Pieces that a client sends at a rate that the sidecar accepts, over more than its deadline in total. */
    private static final int CLIENT_PIECE_BYTES = 8 * 1024;

    private static final int CLIENT_PIECE_INTERVAL_MS = 100;
    private static final int CLIENT_PIECES = 30;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** Guards against a late final response where an endpoint stops reading the body: the deadline still applies. */
    @Test
    void endpointThatStopsReadingDoesNotDelayTheFinalResponse() throws Exception {
        start(connection -> {
            connection.readHead();
            connection.in.readNBytes(TAKEN_BYTES);
            new FutureTask<>(() -> null).get();
        });
        assertRespondedWithin(DEADLINE_MS, DEADLINE_MS + LATE_RESPONSE_SLACK_MS);
    }

    /** Like the test above, for an endpoint that reads too slowly, so that the upload makes progress to the end. */
    @Test
    void endpointThatReadsSlowlyDoesNotDelayTheFinalResponse() throws Exception {
        start(connection -> {
            connection.readHead();
            while (connection.in.readNBytes(SLOW_PIECE_BYTES).length > 0) {
                TimeUnit.MILLISECONDS.sleep(SLOW_PIECE_INTERVAL_MS);
            }
        });
        assertRespondedWithin(DEADLINE_MS, DEADLINE_MS + LATE_RESPONSE_SLACK_MS);
    }

    /** Guards against a stalled upload that is noticed only after up to twice the stall time-out. */
    @Test
    void uploadThatStallsAfterProgressEndsAtTheStallTimeout() throws Exception {
        start(connection -> {
            connection.readHead();
            connection.in.readNBytes(TAKEN_BYTES);
            new FutureTask<>(() -> null).get();
        });
        assertRespondedWithin(LONG_DEADLINE_MS, STALL_MS + STALL_CHECK_INTERVAL_MS + LATE_RESPONSE_SLACK_MS);
    }

    /** Guards against a deadline that counts from a pause in reading although the client sends on after it. */
    @Test
    void deadlineOfASlowClientCountsFromItsLastByte() throws Exception {
        start(connection -> {
            HttpTestConnection.Message request = connection.read();
            StubEndpoint.respond(connection, 200, "", "read " + request.bytes().length);
        });
        int bytes = BODY_BYTES / 2 + CLIENT_PIECES * CLIENT_PIECE_BYTES;
        try (HttpTestConnection client = fixture.client()) {
            client.send(head(DEADLINE_MS, bytes));
            client.socket.getOutputStream().write(new byte[BODY_BYTES / 2]);
            for (int i = 0; i < CLIENT_PIECES; i++) {
                client.socket.getOutputStream().write(new byte[CLIENT_PIECE_BYTES]);
                TimeUnit.MILLISECONDS.sleep(CLIENT_PIECE_INTERVAL_MS);
            }
            assertEquals("read " + bytes, client.read().body());
        }
    }

    private void start(StubEndpoint.ConnectionHandler handler) throws IOException {
        StubEndpoint endpoint = new StubEndpoint(handler);
        endpoint.listener.setReceiveBufferSize(ENDPOINT_RECEIVE_BUFFER_BYTES);
        fixture = new SidecarFixture(endpoint).start();
    }

    private String head(int deadlineMs, int bodyBytes) {
        return fixture.uploadHead(deadlineMs, bodyBytes);
    }

    private void assertRespondedWithin(int deadlineMs, int limitMs) throws Exception {
        try (HttpTestConnection client = fixture.client()) {
            FutureTask<Long> lastByteNs = new FutureTask<>(() -> {
                client.send(head(deadlineMs, BODY_BYTES))
                        .socket
                        .getOutputStream()
                        .write(new byte[BODY_BYTES]);
                return System.nanoTime();
            });
            new Thread(lastByteNs, "client").start();
            HttpTestConnection.Message response = client.read();
            long respondedNs = System.nanoTime();
            assertTrue(lastByteNs.isDone(), "the buffers take the complete request");
            long afterLastByteMs = TimeUnit.NANOSECONDS.toMillis(respondedNs - lastByteNs.get());
            assertTrue(
                    afterLastByteMs <= limitMs,
                    response.startLine() + " " + afterLastByteMs + " ms after the last byte");
            assertEquals(503, response.status(), "the request was not executed");
        }
    }
}
