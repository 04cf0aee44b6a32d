package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of clients that have disconnected, and the same requests sent again. */
@Timeout(60)
class RepeatedRequestTest {

    private static final int DEADLINE_MS = 4000;
    /** An attempt may begin this long after its client's disconnect. */
    private static final int MAX_START_AFTER_DISCONNECT_MS = 100;

    private static final int STALL_MS = 150;
    private static final int CONFLICT = 409;

    @TempDir
    Path stateDirectory;

    private SidecarFixture fixture;
    private SidecarFixture successor;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        if (successor != null) {
            successor.close();
        }
    }

    private static StubEndpoint hanging() throws IOException {
        return new StubEndpoint((StubEndpoint.RequestHandler) (connection, request) -> connection.awaitEnd());
    }

    private SidecarFixture startFixture(StubEndpoint endpoint) throws IOException {
        SidecarFixture started = new SidecarFixture(endpoint);
        started.stateDirectory = stateDirectory;
        return started.start();
    }

    private void sendAndDisconnectOnceForwarded(String request) throws Exception {
        try (HttpTestConnection client = fixture.client()) {
            client.send(request);
            SidecarFixture.await("the request is forwarded", () -> fixture.attempts() == 1);
        }
        SidecarFixture.await("the request has ended", () -> fixture.openRequests() == 0);
    }

    /** Guards against a request that runs twice because its client has left and sends it again. */
    @Test
    void requestThatMayHaveRunIsNotForwardedAgain() throws Exception {
        fixture = startFixture(hanging());
        String request = fixture.request("order", DEADLINE_MS);
        sendAndDisconnectOnceForwarded(request);
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(CONFLICT, client.send(request).read().status());
        }
        assertEquals(1, fixture.attempts());
    }

    /** Like the test above, at the other process of an upgrade. */
    @Test
    void requestThatMayHaveRunIsNotForwardedByTheOtherProcess() throws Exception {
        StubEndpoint endpoint = hanging();
        fixture = startFixture(endpoint);
        successor = startFixture(endpoint);
        String request = fixture.request("order", DEADLINE_MS);
        sendAndDisconnectOnceForwarded(request);
        try (HttpTestConnection client = successor.client()) {
            assertEquals(CONFLICT, client.send(request).read().status());
        }
        assertEquals(1, fixture.attempts());
    }

    /** Guards against a client that may not repeat a request that is safe to repeat, or that has never run. */
    @ParameterizedTest
    @ValueSource(strings = {"read", "order"})
    void requestThatMayRunAgainIsForwarded(String requestClass) throws Exception {
        fixture = startFixture(new StubEndpoint((connection, request) -> {
            boolean first = fixture.attempts() == 1;
            StubEndpoint.respond(connection, first ? 503 : 200, first ? "X-Not-Run: 1\r\n" : "", "x");
        }));
        String request = fixture.request(requestClass, DEADLINE_MS);
        for (int i = 0; i < 2; i++) {
            try (HttpTestConnection client = fixture.client()) {
                client.send(request).read();
            }
        }
        assertEquals(200, fixture.sendRequest(requestClass, DEADLINE_MS).status());
    }

    /** Guards against an attempt for a client that left while its request waited to be read. */
    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "5, false", "5, true"})
    void requestsOfAClientThatLeftBeforeTheyWereReadAreNotForwarded(int requests, boolean byReset) throws Exception {
        fixture = startFixture(StubEndpoint.respondingWith(200, "", "served"));
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS)).read();
            CountDownLatch stalled = new CountDownLatch(1);
            fixture.sidecar.loop().execute(() -> {
                stalled.countDown();
                pause(STALL_MS + MAX_START_AFTER_DISCONNECT_MS);
            });
            stalled.await();
            for (int i = 0; i < requests; i++) {
                client.send(fixture.request("order", DEADLINE_MS));
            }
            if (byReset) {
                client.reset();
            }
        }
        fixture.sidecar.loop().submit(() -> {}).sync();
        SidecarFixture.await("the requests have ended", () -> fixture.openRequests() == 0);
        fixture.sendRequest("read", DEADLINE_MS);
        assertEquals(2, fixture.attempts(), "only requests of connected clients are forwarded");
    }

    private static void pause(int ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
