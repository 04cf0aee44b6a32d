package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A request whose client has disconnected is not forwarded, whether or not attempts in flight may be cancelled. */
@Timeout(60)
class ClientDisconnectTest {

    private static final int DEADLINE_MS = 8000;
    /** A disconnect must be noticed within this time. Later, it could have been noticed at the deadline only. */
    private static final double MAX_DETECTION_MS = DEADLINE_MS / 2.0;

    private static final int CLIENTS = 3;
    /** More than the sidecar reads of a body before an attempt takes it. */
    private static final int UNREADABLE_BODY_BYTES = 5_000_000;
    /** More than the balancer admits at once, so that some are rejected before they disconnect. */
    private static final int MANY_CLIENTS = 40;
    /**
     * Input behind the pipelined requests that the sidecar still reads. The two values below are more than it reads.
     */
    private static final int READABLE_INPUT_BYTES = 10_000;

    private static final int EXCESS_INPUT_BYTES = 100_000;
    private static final int LARGE_INPUT_BYTES = 1_000_000;
    private static final int MAX_PIPELINED_REQUESTS = 8;
    private static final int RESPONSE_BYTES = 32 * 1024 * 1024;

    private SidecarFixture fixture;

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static void disconnect(HttpTestConnection client, boolean byReset) throws IOException {
        if (byReset) {
            client.reset();
        } else {
            client.close();
        }
    }

    private void awaitDisconnectsNoticed() throws InterruptedException {
        long disconnectNs = System.nanoTime();
        SidecarFixture.await("the disconnects of the clients are noticed", () -> {
            try {
                return fixture.callAdmin("GET", "/v1/metrics").body().contains("concurrent=0");
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        assertTrue((System.nanoTime() - disconnectNs) / 1e6 < MAX_DETECTION_MS, "noticed long before the deadlines");
    }

    /** Starts a sidecar whose only endpoint accepts no connection yet. */
    private void startWith(LateStubEndpoint late, boolean cancels) throws IOException {
        fixture = new SidecarFixture();
        fixture.cancel = cancels;
        fixture.configChange = config -> config.replace(
                "\"servers\":[]",
                "\"servers\":[" + SidecarFixture.endpointJson(0, late.address(), "in_service", 0) + "]");
        fixture.start();
    }

    /** Guards against attempts whose connection is established after the client has disconnected. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void attemptAwaitingItsConnectionIsNotSent(boolean cancels, boolean byReset) throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            startWith(late, cancels);
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(fixture.client().send(fixture.request("order", DEADLINE_MS)));
            }
            SidecarFixture.await("all attempts wait for their connections", () -> fixture.openRequests() == CLIENTS);
            for (HttpTestConnection client : clients) {
                disconnect(client, byReset);
            }
            awaitDisconnectsNoticed();
            late.release();
            SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
            assertEquals(0, late.requestCount.get());
            assertEquals(
                    "late",
                    fixture.sendRequest("order", DEADLINE_MS).body(),
                    "the endpoint accepts connections from now on");
            assertEquals(1, late.requestCount.get(), "only the request of the connected client is sent");
        }
    }

    /** Like the test above, with large requests: their disconnect is behind the part of the body that waits. */
    @ParameterizedTest
    @CsvSource({
        "true,true,200000",
        "true,false,200000",
        "false,true,200000",
        "false,false,200000",
        "true,false,400000",
        "false,false,400000",
        "true,false,1900000"
    })
    void largeRequestAwaitingItsConnectionIsNotSent(boolean cancels, boolean byReset, int bodyBytes) throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            startWith(late, cancels);
            HttpTestConnection client = fixture.client();
            client.send(largeRequest(bodyBytes));
            SidecarFixture.await("the attempt waits for its connection", () -> fixture.openRequests() == 1);
            disconnect(client, byReset);
            awaitDisconnectsNoticed();
            late.release();
            SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
            assertEquals(
                    "late",
                    fixture.sendRequest("order", DEADLINE_MS).body(),
                    "the endpoint accepts connections from now on");
            assertEquals(1, late.requestCount.get(), "only the request of the connected client is sent");
        }
    }

    private String largeRequest(int bodyBytes) {
        return fixture.uploadHead(DEADLINE_MS, bodyBytes) + "x".repeat(bodyBytes);
    }

    /**
     * Guards against an attempt of a request that is too large to be read ahead, so that its client may have
     * disconnected behind the unread part: when the connection comes up, the request is rejected, not sent.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void requestWhoseClientMayHaveDisconnectedIsRejected(boolean cancels) throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            startWith(late, cancels);
            HttpTestConnection client = fixture.client();
            String request = largeRequest(UNREADABLE_BODY_BYTES);
            Thread sender = new Thread(() -> sendUntilClosed(client, request));
            sender.start();
            SidecarFixture.await("the attempt waits for its connection", () -> fixture.openRequests() == 1);
            late.release();
            assertEquals(503, client.read().status());
            client.close();
            sender.join();
            assertEquals("late", fixture.sendRequest("order", DEADLINE_MS).body());
            assertEquals(1, late.requestCount.get(), "only the small request is sent");
        }
    }

    private static void sendUntilClosed(HttpTestConnection client, String request) {
        try {
            client.send(request);
        } catch (IOException e) {
            // The sidecar need not read all of the request.
            return;
        }
    }

    /** Like the tests above, with more clients at once than the balancer admits. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void noAttemptIsSentWhenManyClientsDisconnect(boolean cancels, boolean byReset) throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            startWith(late, cancels);
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < MANY_CLIENTS; i++) {
                clients.add(fixture.client().send(fixture.request("read", DEADLINE_MS)));
            }
            SidecarFixture.await("some attempts wait for their connections", () -> fixture.openRequests() > 0);
            fixture.awaitReusableConnections();
            for (HttpTestConnection client : clients) {
                disconnect(client, byReset);
            }
            awaitDisconnectsNoticed();
            late.release();
            SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
            assertEquals(
                    "late",
                    fixture.sendRequest("order", DEADLINE_MS).body(),
                    "the endpoint accepts connections from now on");
            assertEquals(1, late.requestCount.get(), "only the request of the connected client is sent");
        }
    }

    /** Guards against a retry whose connection is established after the client has disconnected. */
    @ParameterizedTest
    @CsvSource({"true,true", "true,false", "false,true", "false,false"})
    void retryAwaitingItsConnectionIsNotSent(boolean cancels, boolean byReset) throws Exception {
        CountDownLatch attemptReceived = new CountDownLatch(1);
        CountDownLatch allReceived = new CountDownLatch(CLIENTS);
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            StubEndpoint first = new StubEndpoint((connection, request) -> {
                allReceived.countDown();
                attemptReceived.countDown();
                SidecarFixture.await("the endpoint list is applied", () -> fixture.discovery.requests.size() == 2);
                allReceived.await();
                StubEndpoint.respond(connection, 503, "X-Not-Run: 1\r\n", "");
            });
            fixture = new SidecarFixture(first);
            fixture.cancel = cancels;
            fixture.discovery.requestHandler = (connection, request) -> {
                if (fixture.discovery.requests.size() > 1) {
                    connection.awaitEnd();
                }
                attemptReceived.await();
                StubEndpoint.respond(
                        connection,
                        200,
                        "",
                        SidecarFixture.endpointListJson(
                                2, false, SidecarFixture.endpointJson(1, late.address(), "in_service", 0)));
            };
            fixture.start();
            List<HttpTestConnection> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(fixture.client().send(fixture.request("order", DEADLINE_MS)));
            }
            SidecarFixture.await("the first attempts are received", () -> fixture.attempts() == CLIENTS);
            fixture.awaitReusableConnections();
            SidecarFixture.await("some retries wait for their connections", () -> fixture.openRequests() > 0);
            for (HttpTestConnection client : clients) {
                disconnect(client, byReset);
            }
            awaitDisconnectsNoticed();
            late.release();
            SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
            fixture.awaitReusableConnections();
            assertEquals(0, late.requestCount.get());
            assertEquals(CLIENTS, fixture.attempts());
        }
    }

    /** Guards against a retry of an attempt that fails after the client has disconnected. */
    @ParameterizedTest
    @CsvSource({
        "true,true,500",
        "true,false,500",
        "false,true,500",
        "false,false,500",
        "false,true,503",
        "false,false,503",
        "false,true,0",
        "false,false,0"
    })
    void attemptThatFailsAfterTheDisconnectIsNotRetried(boolean cancels, boolean byReset, int status) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubEndpoint.RequestHandler failing = (connection, request) -> {
            release.await();
            if (status == 0) {
                connection.reset();
            } else {
                StubEndpoint.respond(connection, status, status == 503 ? "X-Not-Run: 1\r\n" : "", "");
            }
        };
        fixture = new SidecarFixture(new StubEndpoint(failing), new StubEndpoint(failing));
        fixture.cancel = cancels;
        fixture.start();
        List<HttpTestConnection> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(fixture.client().send(fixture.request("read", DEADLINE_MS)));
        }
        SidecarFixture.await("the attempts are received", () -> fixture.attempts() == CLIENTS);
        for (HttpTestConnection client : clients) {
            disconnect(client, byReset);
        }
        awaitDisconnectsNoticed();
        release.countDown();
        SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
        fixture.awaitReusableConnections();
        assertEquals(CLIENTS, fixture.attempts());
    }

    /** Guards against retries for a client whose disconnect cannot be read, as unread input precedes it. */
    @ParameterizedTest
    @CsvSource({
        "0,false",
        "0,true",
        "200,false",
        "200,true",
        READABLE_INPUT_BYTES + ",false",
        READABLE_INPUT_BYTES + ",true",
        EXCESS_INPUT_BYTES + ",false",
        EXCESS_INPUT_BYTES + ",true",
        LARGE_INPUT_BYTES + ",false",
        LARGE_INPUT_BYTES + ",true"
    })
    void disconnectBehindUnreadInputIsNoticed(int inputBytes, boolean byReset) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubEndpoint.RequestHandler failing = (connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 500, "", "");
        };
        fixture = new SidecarFixture(new StubEndpoint(failing), new StubEndpoint(failing));
        fixture.cancel = false;
        fixture.start();
        HttpTestConnection client = fixture.client();
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < MAX_PIPELINED_REQUESTS; i++) {
            all.append(fixture.request("read", DEADLINE_MS));
        }
        client.send(all.toString());
        SidecarFixture.await(
                "all admitted requests are forwarded",
                () -> fixture.attempts() > 0 && fixture.attempts() == fixture.openRequests());
        fixture.awaitReusableConnections();
        int attemptsBefore = fixture.attempts();
        String more = fixture.request("read", DEADLINE_MS);
        client.send(more.repeat(inputBytes / more.length()));
        fixture.awaitReusableConnections();
        disconnect(client, byReset);
        awaitDisconnectsNoticed();
        release.countDown();
        SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
        fixture.awaitReusableConnections();
        assertEquals(attemptsBefore, fixture.attempts());
    }

    /**
     * Like the test above, for a client that reads no response: the sidecar stops reading from it, as its write buffer
     * is full.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void disconnectWithAnUnreadResponseIsNoticed(boolean byReset) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch responseStarted = new CountDownLatch(1);
        StubEndpoint.RequestHandler handler = (connection, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
                responseStarted.countDown();
                connection.send("x".repeat(RESPONSE_BYTES));
            }
            release.await();
            StubEndpoint.respond(connection, 500, "", "");
        };
        fixture = new SidecarFixture(new StubEndpoint(handler), new StubEndpoint(handler));
        fixture.cancel = false;
        fixture.start();
        HttpTestConnection client = fixture.client();
        client.send(fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS));
        responseStarted.await();
        SidecarFixture.await("the second request is forwarded", () -> fixture.attempts() == 2);
        fixture.awaitReusableConnections();
        disconnect(client, byReset);
        awaitDisconnectsNoticed();
        release.countDown();
        SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
        fixture.awaitReusableConnections();
        assertEquals(2, fixture.attempts());
    }

    /** Guards against unnoticed disconnects of clients with more pipelined requests than the sidecar reads. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 8, 9, 300})
    void disconnectAfterManyRequestsIsNoticed(int requests) throws Exception {
        StubEndpoint unresponsive = new StubEndpoint((connection, request) -> connection.awaitEnd());
        fixture = new SidecarFixture(unresponsive);
        fixture.start();
        long disconnectNs;
        try (HttpTestConnection client = fixture.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                all.append(fixture.request("read", DEADLINE_MS));
            }
            client.send(all.toString());
            SidecarFixture.await("the first request is forwarded", () -> fixture.attempts() > 0);
            disconnectNs = System.nanoTime();
        }
        SidecarFixture.await(
                "the attempts are cancelled", () -> unresponsive.open.get() == 0 && fixture.openRequests() == 0);
        assertTrue((System.nanoTime() - disconnectNs) / 1e6 < MAX_DETECTION_MS);
    }

    /** Guards against a response that is lost because its client sends malformed input after the request. */
    @Test
    void inputBehindARequestDoesNotTruncateItsResponse() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 200, "", "served");
        }));
        fixture.start();
        try (HttpTestConnection client = fixture.client()) {
            Thread sender = new Thread(() -> {
                try {
                    client.send(fixture.request("order", DEADLINE_MS) + "no request\r\n\r\n");
                    client.send("x".repeat(1 << 20));
                } catch (IOException e) {
                    // The sidecar need not read all of this input.
                    return;
                }
            });
            sender.setDaemon(true);
            sender.start();
            SidecarFixture.await("the request is forwarded", () -> fixture.attempts() == 1);
            assertEquals(200, readAfterRelease(client, release).status());
        }
    }

    private HttpTestConnection.Message readAfterRelease(HttpTestConnection client, CountDownLatch release)
            throws Exception {
        // Once other clients have their responses, the sidecar has read all that it reads of this input.
        for (int i = 0; i < CLIENTS; i++) {
            try (HttpTestConnection other = fixture.client()) {
                assertEquals(
                        404,
                        other.send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n")
                                .read()
                                .status());
            }
        }
        release.countDown();
        return client.read();
    }
}
