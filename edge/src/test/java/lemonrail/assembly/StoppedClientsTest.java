package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that stop in the middle of a request and stay connected get an error in time. */
@Timeout(60)
class StoppedClientsTest {

    private static final int DEADLINE_MS = 8000;
    /** A client that stops is owed an error or a close within this time. */
    private static final int MAX_RESPONSE_MS = 3000;

    private static final int BODY_BYTES = 8_000_000;
    private static final int SENT_BYTES = 3_000_000;

    private static final int PIECES = 3;
    private static final int PIECE_BYTES = 128_000;
    private static final int PIECE_INTERVAL_MS = 2000;

    private SidecarFixture fixture;

    @BeforeEach
    void start() throws IOException {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served")).start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static void assertTimedOut(HttpTestConnection client, long stoppedNs) throws IOException {
        assertEquals(408, client.read().status());
        client.awaitEnd();
        long responseMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNs);
        assertTrue(responseMs < MAX_RESPONSE_MS, "ended " + responseMs + " ms after the client stopped");
    }

    /** Guards against a client that saves up time by sending fast, and so keeps a slot of an endpoint. */
    @Test
    void clientThatStopsAfterSendingFastIsTimedOut() throws Exception {
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.uploadHead(DEADLINE_MS, BODY_BYTES) + "x".repeat(SENT_BYTES));
            assertTimedOut(client, System.nanoTime());
        }
        SidecarFixture.await("the request has ended", () -> fixture.openRequests() == 0);
        assertEquals("served", fixture.sendRequest("read", DEADLINE_MS).body());
    }

    /** Guards against a body to which no time-out applies because it arrives together with an earlier request. */
    @ParameterizedTest
    @ValueSource(ints = {0, 10_000, 100_000})
    void bodyThatStopsBehindAnotherRequestIsTimedOut(int sentBytes) throws Exception {
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS)
                    + fixture.uploadHead(DEADLINE_MS, BODY_BYTES)
                    + "x".repeat(sentBytes));
            long stoppedNs = System.nanoTime();
            assertEquals("served", client.read().body());
            assertTimedOut(client, stoppedNs);
        }
    }

    /** Guards against a time-out for a client that sends at a sufficient rate, in pieces with pauses between them. */
    @Test
    void bodySentInPiecesIsAccepted() throws Exception {
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.uploadHead(DEADLINE_MS, PIECES * PIECE_BYTES));
            for (int i = 0; i < PIECES; i++) {
                client.send("x".repeat(PIECE_BYTES));
                TimeUnit.MILLISECONDS.sleep(PIECE_INTERVAL_MS);
            }
            assertEquals("served", client.read().body());
        }
    }
}
