package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The complete sidecar with clients, endpoints and discovery on loopback sockets. */
@Timeout(60)
class SidecarTest {

    private static final int DEADLINE_MS = 8000;

    private SidecarFixture fixture;

    private SidecarFixture start(StubEndpoint... endpoints) throws IOException {
        fixture = new SidecarFixture(endpoints);
        return fixture.start();
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
    }

    private static StubEndpoint servingEndpoint() throws IOException {
        return StubEndpoint.respondingWith(200, "Content-Type: text/x\r\n", "served");
    }

    // ---- requests and responses ----

    @Test
    void requestAndResponseAreForwardedUnchanged() throws Exception {
        start(servingEndpoint());
        HttpTestConnection.Message response = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(200, response.status());
        assertEquals("served", response.body());
        assertEquals("text/x", response.headers().get("content-type"));
        HttpTestConnection.Message forwarded = fixture.endpoints.get(0).requests.get(0);
        assertEquals("POST /api?q=1 HTTP/1.1", forwarded.startLine());
        assertEquals("hello", forwarded.body());
        assertEquals("r0", forwarded.headers().get("x-request-id"));
        assertEquals("k1", forwarded.headers().get("idempotency-key"));
        int deadlineMs = Integer.parseInt(forwarded.headers().get("x-deadline-ms"));
        assertTrue(deadlineMs > 0 && deadlineMs <= DEADLINE_MS, "deadline sent to the endpoint: " + deadlineMs);
    }

    @Test
    void connectionsAreReusedOnBothSides() throws Exception {
        start(servingEndpoint());
        try (HttpTestConnection client = fixture.client()) {
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        200,
                        client.send(fixture.request("read", DEADLINE_MS)).read().status());
                fixture.awaitReusableConnections();
            }
        }
        assertEquals(1, fixture.endpoints.get(0).connections.get());
    }

    /** Guards against responses out of order: a client with pipelined requests matches responses by their order. */
    @Test
    void responsesKeepTheOrderOfTheRequests() throws Exception {
        CountDownLatch second = new CountDownLatch(1);
        start(new StubEndpoint((connection, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                second.await();
            } else {
                second.countDown();
            }
            StubEndpoint.respond(connection, 200, "", request.headers().get("x-request-id"));
        }));
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS) + fixture.request("read", DEADLINE_MS));
            assertEquals("r0", client.read().body());
            assertEquals("r1", client.read().body());
        }
    }

    // ---- retries and failures ----

    /** Guards against a second execution: a non-idempotent request that may have been executed is not retried. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "half", "unframed", "garbage", "503", "504", "500", "201"})
    void nonIdempotentRequestThatMayHaveRunFailsAtOnce(String failure) throws Exception {
        StubEndpoint.RequestHandler handler = (connection, request) -> {
            switch (failure) {
                case "reset" -> connection.reset();
                case "half" -> {
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
                    connection.close();
                }
                case "unframed" -> {
                    connection.send("HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all");
                    connection.reset();
                }
                case "garbage" -> connection.send("what?\r\n\r\n");
                default -> StubEndpoint.respond(connection, Integer.parseInt(failure), "", "mine");
            }
        };
        start(new StubEndpoint(handler), new StubEndpoint(handler));
        HttpTestConnection.Message response = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(502, response.status());
        assertFalse(response.body().contains("mine"), "the body of an endpoint's error response is not forwarded");
        assertEquals(1, fixture.attempts());
    }

    /** Guards against failures that a retry avoids: a request that was not executed may be retried in any class. */
    @ParameterizedTest
    @CsvSource({"order,503", "order,504", "order,refused", "read,500", "read,reset"})
    void failedAttemptIsRetriedAtAnotherEndpointWhereSafe(String requestClass, String failure) throws Exception {
        StubEndpoint first = new StubEndpoint((connection, request) -> {
            if (failure.equals("reset")) {
                connection.reset();
            } else {
                StubEndpoint.respond(connection, Integer.parseInt(failure), "X-Not-Run: 1\r\n", "");
            }
        });
        StubEndpoint other = new StubEndpoint(first.requestHandler);
        start(first, other);
        StubEndpoint.RequestHandler serving =
                (connection, request) -> StubEndpoint.respond(connection, 200, "", "served");
        // The first attempt fails at either endpoint, and all later attempts are served.
        if (failure.equals("refused")) {
            first.close();
            SidecarFixture.await("the port of the closed endpoint refuses connections", () -> {
                try (HttpTestConnection connection =
                        HttpTestConnection.to(new InetSocketAddress("127.0.0.1", first.port()))) {
                    return false;
                } catch (IOException e) {
                    return true;
                }
            });
            other.requestHandler = serving;
        } else {
            StubEndpoint.RequestHandler failing = first.requestHandler;
            StubEndpoint.RequestHandler once = (connection, request) -> {
                first.requestHandler = serving;
                other.requestHandler = serving;
                failing.handle(connection, request);
            };
            first.requestHandler = once;
            other.requestHandler = once;
        }
        for (int i = 0; i < 3; i++) {
            assertEquals(200, fixture.sendRequest(requestClass, DEADLINE_MS).status());
        }
    }

    /**
     * Guards against an unresponsive endpoint that keeps connections busy: the attempt times out, and its connection is
     * closed.
     */
    @Test
    void timedOutAttemptClosesItsConnection() throws Exception {
        StubEndpoint unresponsive = new StubEndpoint((connection, request) -> connection.awaitEnd());
        start(unresponsive);
        HttpTestConnection.Message response = fixture.sendRequest("order", 300);
        assertEquals(502, response.status(), "the request may have been executed");
        SidecarFixture.await("the connection is closed", () -> unresponsive.open.get() == 0);
        assertEquals(1, fixture.attempts());
    }

    @Test
    void attemptIsCancelledWhenItsClientDisconnects() throws Exception {
        StubEndpoint unresponsive = new StubEndpoint((connection, request) -> connection.awaitEnd());
        start(unresponsive);
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the attempt is sent", () -> unresponsive.requests.size() == 1);
        }
        SidecarFixture.await("the attempt is cancelled", () -> unresponsive.open.get() == 0);
    }

    /** Guards against clients that retry immediately: a rejection is sent at once, with a Retry-After header. */
    @Test
    void rejectionIsSentAtOnceWithRetryAfter() throws Exception {
        start();
        long startNs = System.nanoTime();
        HttpTestConnection.Message response = fixture.sendRequest("order", DEADLINE_MS);
        assertEquals(503, response.status());
        assertEquals(0.5, Double.parseDouble(response.headers().get("retry-after")));
        assertTrue(
                (System.nanoTime() - startNs) / 1e6 < DEADLINE_MS / 2.0,
                "the rejection comes long before the deadline");
    }

    /**
     * Guards against events that reach the load balancer within its own call: with all connections busy, an attempt
     * ends while it is being started. Also guards against more sockets than the limit permits.
     */
    @Test
    void attemptsWithoutAFreeConnectionAreRejected() throws Exception {
        StubEndpoint[] unresponsive = new StubEndpoint[4];
        for (int i = 0; i < unresponsive.length; i++) {
            unresponsive[i] = new StubEndpoint((connection, request) -> connection.awaitEnd());
        }
        fixture = new SidecarFixture(unresponsive);
        fixture.sockets = 1;
        fixture.start();
        try (HttpTestConnection pipelining = fixture.client()) {
            for (int i = 0; i < 8; i++) {
                pipelining.send(fixture.request("order", DEADLINE_MS));
            }
            SidecarFixture.await("all connections are busy", () -> fixture.attempts() == 8);
            assertEquals(503, fixture.sendRequest("order", DEADLINE_MS).status());
            assertEquals(8, fixture.attempts());
            assertTrue(fixture.logged().contains("all 8 connections to endpoints are busy"), fixture.logged());
            assertFalse(fixture.logged().contains("the load balancer threw an exception"), fixture.logged());
        }
    }

    /** Guards against exhausted descriptors: beyond the limit, idle connections are closed and clients are rejected. */
    @Test
    void clientsBeyondTheLimitAreRejected() throws Exception {
        fixture = new SidecarFixture(new StubEndpoint((connection, request) -> connection.awaitEnd()));
        fixture.sockets = 1;
        fixture.start();
        List<HttpTestConnection> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(fixture.client().send(fixture.request("order", DEADLINE_MS)));
        }
        SidecarFixture.await("the first requests are in flight", () -> fixture.attempts() == 4);
        // Idle connections are closed in favour of new ones; connections with requests stay open.
        for (int i = 0; i < 12; i++) {
            clients.add(fixture.client());
        }
        clients.get(4).awaitEnd();
        for (int i = 12; i < 16; i++) {
            clients.get(i).send("POST /api HTTP/1.1\r\n");
        }
        clients.add(fixture.client());
        for (HttpTestConnection client : clients) {
            client.close();
        }
        SidecarFixture.await(
                "the connections to the endpoint are closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
        fixture.endpoints.get(0).requestHandler =
                (connection, request) -> StubEndpoint.respond(connection, 200, "", "served");
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
    }

    // ---- invalid requests ----

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "X-Class: read|X-Class: novel|400",
                "X-Class: read|Y: z|400",
                "X-Request-Id: r0|Y: z|400",
                "X-Deadline-Ms: 8000|X-Deadline-Ms: soon|400",
                "X-Deadline-Ms: 8000|Y: z|400",
                "/api?q=1|/other|404",
                "GET /api|PUT /api|405",
                "HTTP/1.1|HTTP|400",
                "Host: app.svc|Content-Length: 33554433|413"
            })
    void invalidRequestIsRejected(String original, String replacement, int status) throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 200, "", "served");
        }));
        try (HttpTestConnection other = fixture.client();
                HttpTestConnection client = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            other.send(fixture.request("read", DEADLINE_MS));
            SidecarFixture.await("another request is in flight", () -> fixture.attempts() == 1);
            assertTrue(request.contains(original), original);
            assertEquals(
                    status,
                    client.send(request.replace(original, replacement)).read().status());
            release.countDown();
            assertEquals(200, other.read().status());
        }
        assertEquals(1, fixture.attempts());
    }

    @Test
    void requestIdOfARequestInFlightIsRejected() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((connection, request) -> {
            release.await();
            StubEndpoint.respond(connection, 200, "", "served");
        }));
        try (HttpTestConnection one = fixture.client();
                HttpTestConnection two = fixture.client()) {
            String request = fixture.request("read", DEADLINE_MS);
            one.send(request);
            SidecarFixture.await("the request is in flight", () -> fixture.attempts() == 1);
            assertEquals(409, two.send(request).read().status());
            release.countDown();
            assertEquals(200, one.read().status());
        }
    }

    // ---- connections to endpoints ----

    /** Guards against requests on a connection that the endpoint is closing, which would be reset. */
    @Test
    void idleConnectionsAreClosedBeforeTheEndpointClosesThem() throws Exception {
        fixture = new SidecarFixture(servingEndpoint());
        fixture.idleCloseMs = 400;
        fixture.start();
        assertEquals(200, fixture.sendRequest("read", DEADLINE_MS).status());
        SidecarFixture.await(
                "the idle connection is closed",
                () -> fixture.endpoints.get(0).open.get() == 0);
    }

    // ---- discovery ----

    /** Makes discovery respond with the elements of the returned queue; "reset" and empty ones are failures. */
    private LinkedBlockingQueue<String> scriptDiscovery() {
        LinkedBlockingQueue<String> responses = new LinkedBlockingQueue<>();
        fixture.discovery.requestHandler = (connection, request) -> {
            String response = responses.take();
            if (response.equals("reset")) {
                connection.reset();
            } else {
                StubEndpoint.respond(connection, response.isEmpty() ? 503 : 200, "", response);
            }
        };
        return responses;
    }

    @Test
    void watchContinuesFromTheVersionOfTheLastResponse() throws Exception {
        StubEndpoint before = servingEndpoint();
        StubEndpoint after = servingEndpoint();
        fixture = new SidecarFixture(before);
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> responses = scriptDiscovery();
        fixture.start();
        responses.add(SidecarFixture.endpointListJson(
                7,
                false,
                SidecarFixture.endpointJson(0, before.address(), "terminating", 0),
                SidecarFixture.endpointJson(1, after.address(), "in_service", 0)));
        SidecarFixture.await("the next discovery request is sent", () -> fixture.discovery.requests.size() == 2);
        assertEquals(
                List.of(
                        "GET /registry/instances?index=1&wait=3000 HTTP/1.1",
                        "GET /registry/instances?index=7&wait=3000 HTTP/1.1"),
                fixture.discovery.requests.stream()
                        .map(HttpTestConnection.Message::startLine)
                        .toList());
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(0, before.requests.size(), "the former endpoint is draining");
        assertEquals(1, after.requests.size());
        after.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "reset", "{\"version\":", "{\"version\":1}"})
    void failedDiscoveryRequestIsRetried(String failure) throws Exception {
        fixture = new SidecarFixture(servingEndpoint());
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> responses = scriptDiscovery();
        fixture.start();
        responses.add(failure);
        responses.add(failure);
        SidecarFixture.await("the discovery request is retried", () -> fixture.discovery.requests.size() >= 3);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(fixture.logged().contains("discovery failed"), fixture.logged());
    }

    /** Guards against a silent watch that is kept open: the next one must return the changes that it missed. */
    @Test
    void silentWatchTimesOutSoonAfterItsWait() throws Exception {
        StubEndpoint before = servingEndpoint();
        StubEndpoint after = servingEndpoint();
        fixture = new SidecarFixture(before);
        fixture.pollIntervalMs = 20;
        fixture.discoveryWaitMs = 100;
        fixture.discovery.requestHandler = (connection, request) -> {
            if (fixture.discovery.requests.size() > 1) {
                StubEndpoint.respond(
                        connection,
                        200,
                        "",
                        SidecarFixture.endpointListJson(
                                7, true, SidecarFixture.endpointJson(1, after.address(), "in_service", 0)));
                fixture.discovery.requestHandler = (next, call) -> next.awaitEnd();
            }
        };
        fixture.start();
        SidecarFixture.await("the endpoint list is applied", () -> fixture.discovery.requests.size() >= 3);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(1, after.requests.size());
        assertTrue(
                fixture.logged().contains("endpoint discovery failed: timed out waiting for a response"),
                fixture.logged());
        after.close();
    }

    /** Guards against a delta based on a version of a different sequence, which would be incomplete. */
    @Test
    void fullSnapshotIsRequestedWhenTheVersionDecreases() throws Exception {
        fixture = new SidecarFixture(servingEndpoint());
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> responses = scriptDiscovery();
        fixture.start();
        responses.add(SidecarFixture.endpointListJson(0, false));
        SidecarFixture.await("the next discovery request is sent", () -> fixture.discovery.requests.size() == 2);
        assertEquals(
                "GET /registry/instances HTTP/1.1",
                fixture.discovery.requests.get(1).startLine());
    }

    /** Guards against connections to a process that has ended, on which a request would be reset. */
    @ParameterizedTest
    @CsvSource({"true,0", "false,1000"})
    void movedOrRestartedEndpointGetsNewConnections(boolean moves, long startedMs) throws Exception {
        StubEndpoint old = servingEndpoint();
        fixture = new SidecarFixture(old);
        fixture.pollIntervalMs = 20;
        LinkedBlockingQueue<String> responses = scriptDiscovery();
        fixture.start();
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        StubEndpoint current = moves ? servingEndpoint() : old;
        responses.add(SidecarFixture.endpointListJson(
                2, false, SidecarFixture.endpointJson(0, current.address(), "in_service", startedMs)));
        SidecarFixture.await("the old connection is closed", () -> old.open.get() == 0);
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        assertEquals(moves ? 1 : 2, old.connections.get());
        current.close();
    }

    // ---- start and shutdown ----

    @Test
    void sidecarIsReadyOnlyWithAnAvailableEndpoint() throws Exception {
        start();
        String readinessRequest = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        try (HttpTestConnection client = fixture.client()) {
            assertEquals(503, client.send(readinessRequest).read().status());
        }
        stop();
        start(servingEndpoint());
        SidecarFixture.await("the sidecar is ready after its warm-up", () -> {
            try (HttpTestConnection client = fixture.client()) {
                return client.send(readinessRequest).read().status() == 200;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    /** Guards against requests lost at a planned restart: requests in flight and new ones are served. */
    @Test
    void drainCompletesRequestsInFlightAndServesNewOnes() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        start(new StubEndpoint((connection, request) -> {
            if (request.headers().get("x-request-id").equals("r0")) {
                release.await();
            }
            StubEndpoint.respond(connection, 200, "", "served");
        }));
        HttpTestConnection inFlight = fixture.client().send(fixture.request("order", DEADLINE_MS));
        HttpTestConnection idle = fixture.client();
        HttpTestConnection persistent = fixture.client();
        assertEquals(
                200, idle.send(fixture.request("order", DEADLINE_MS)).read().status());
        assertEquals(
                200,
                persistent.send(fixture.request("order", DEADLINE_MS)).read().status());
        Thread drain = new Thread(fixture.sidecar::shutdownGracefully);
        drain.start();
        int served = 0;
        try {
            while (true) {
                assertEquals(
                        200,
                        persistent
                                .send(fixture.request("order", DEADLINE_MS))
                                .read()
                                .status());
                served++;
            }
        } catch (IOException e) {
            assertTrue(served > 1, "an open connection is still served for a while");
        }
        idle.awaitEnd();
        assertTrue(drain.isAlive(), "the shutdown waits for requests in flight");
        release.countDown();
        HttpTestConnection.Message response = inFlight.read();
        assertEquals(200, response.status());
        assertEquals("close", response.headers().get("connection"));
        drain.join();
        assertThrows(IOException.class, () -> fixture.client());
    }

    /** Guards against warm-up requests that reach endpoints or discovery. */
    @Test
    void warmUpSendsNoRequestsToOthers() throws Exception {
        start(servingEndpoint());
        SidecarFixture.await("the warm-up is done", () -> fixture.logged().contains("warm after"));
        assertEquals(0, fixture.endpoints.get(0).connections.get());
        SidecarFixture.await("a discovery request is open", () -> !fixture.discovery.requests.isEmpty());
        assertEquals(
                List.of("GET /registry/instances?index=1&wait=3000 HTTP/1.1"),
                fixture.discovery.requests.stream()
                        .map(HttpTestConnection.Message::startLine)
                        .toList(),
                "discovery receives no request but the watch");
    }

    /** Guards against malformed input and resets of one client that affect other clients. */
    @Test
    void malformedClientsDoNotAffectOthers() throws Exception {
        start(servingEndpoint());
        for (int i = 0; i < 20; i++) {
            fixture.client().send("GET /api HT").reset();
            fixture.client().send("\0\0\0\r\n\r\n").reset();
        }
        assertEquals(200, fixture.sendRequest("order", DEADLINE_MS).status());
        try (HttpTestConnection client = fixture.client()) {
            client.send("GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n");
            assertEquals(400, client.read().status());
            assertThrows(EOFException.class, client::read);
        }
    }
}
