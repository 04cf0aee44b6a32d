package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests that a client sends before it has the responses to its earlier ones. */
@Timeout(60)
class PipelinedRequestsTest {

    private static final int DEADLINE_MS = 8000;
    private static final int SHORT_DEADLINE_MS = 1000;
    /** How much later than the deadline a final response may come. */
    private static final int LATE_RESPONSE_SLACK_MS = 550;
    /** How long the input behind eight requests waits; with the deadline after it, a response would be too late. */
    private static final int INPUT_WAIT_MS = 900;

    private static final int LARGE_BODY_BYTES = 200_000;
    /** Together more than the bodies that are buffered at once. */
    private static final int DISCARDED_BODIES = 150;

    private static final int DISCARDED_BYTES = 200_000;
    /** A body that is buffered completely, and only while there is room for it. */
    private static final int BUFFERED_BODY_BYTES = 60_000;

    private static final String UNKNOWN_PATH = "GET /other HTTP/1.1\r\nHost: x\r\n\r\n";

    private final CountDownLatch firstReleased = new CountDownLatch(1);
    private final CountDownLatch uploadReceived = new CountDownLatch(1);
    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    /** The first request of a test waits, orders are served, and other requests get no response. */
    private void respond(HttpTestConnection connection, HttpTestConnection.Message request) throws Exception {
        if (request.headers().get("x-class").equals("order")) {
            uploadReceived.countDown();
            StubEndpoint.respond(connection, 200, "", "read " + request.bytes().length);
        } else if (request.headers().get("x-request-id").equals("r0")) {
            firstReleased.await();
            StubEndpoint.respond(connection, 200, "", "first");
        } else {
            connection.awaitEnd();
        }
    }

    /** Guards against a large request whose body is held back, as the eighth, until an earlier response is written. */
    @Test
    void bodyOfTheEighthRequestIsForwarded() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint(this::respond)).start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS) + UNKNOWN_PATH.repeat(6));
            client.send(fixture.uploadHead(DEADLINE_MS, LARGE_BODY_BYTES) + "x".repeat(LARGE_BODY_BYTES));
            assertTrue(uploadReceived.await(DEADLINE_MS, TimeUnit.MILLISECONDS), "the body is forwarded");
            firstReleased.countDown();
            assertEquals("first", client.read().body());
            for (int i = 0; i < 6; i++) {
                assertEquals(404, client.read().status());
            }
            assertEquals("read " + LARGE_BODY_BYTES, client.read().body());
        }
    }

    /** Guards against a body that counts as buffered for ever, as its request is answered without an endpoint. */
    @Test
    void discardedBodiesDoNotUseUpTheBufferBudget() throws Exception {
        Semaphore responses = new Semaphore(0);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
                    if (request.headers().get("x-class").equals("read")) {
                        responses.acquire();
                    }
                    StubEndpoint.respond(connection, 200, "", "read " + request.bytes().length);
                }))
                .start();
        String discarded = "POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: " + DISCARDED_BYTES + "\r\n\r\n"
                + "x".repeat(DISCARDED_BYTES);
        for (int i = 0; i < DISCARDED_BODIES; i++) {
            try (HttpTestConnection client = fixture.client()) {
                client.send(fixture.request("read", DEADLINE_MS) + discarded);
                fixture.awaitReusableConnections();
                responses.release();
                assertEquals("read 0", client.read().body());
                assertEquals(404, client.read().status());
            }
        }
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.uploadHead(DEADLINE_MS, BUFFERED_BODY_BYTES) + "x".repeat(BUFFERED_BODY_BYTES));
            assertEquals("read " + BUFFERED_BODY_BYTES, client.read().body());
        }
    }

    /** Guards against a deadline that counts only from when the sidecar looks at input that it has buffered. */
    @Test
    void deadlineOfABufferedRequestCountsFromItsArrival() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint(this::respond)).start();
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS) + UNKNOWN_PATH.repeat(7));
            fixture.awaitReusableConnections();
            client.send(fixture.request("read", SHORT_DEADLINE_MS));
            long sentNs = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(INPUT_WAIT_MS);
            firstReleased.countDown();
            assertEquals("first", client.read().body());
            for (int i = 0; i < 7; i++) {
                assertEquals(404, client.read().status());
            }
            int status = client.read().status();
            long respondedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNs);
            assertTrue(status == 502 || status == 503, "status " + status);
            assertTrue(respondedMs <= SHORT_DEADLINE_MS + LATE_RESPONSE_SLACK_MS, "after " + respondedMs + " ms");
        }
    }
}
