package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.Request;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections or attempts that end while a request, a response or a result is still in transit. */
@Timeout(60)
class RaceConditionsTest {

    private static final int DEADLINE_MS = 8000;
    /** The limit on client connections with the smallest number of descriptors. */
    private static final int MAX_CONNECTIONS = 8;
    /** Longer than each time-out of a client connection. */
    private static final long BEYOND_CLIENT_TIMEOUTS_MS = 5300;
    /** The time for which endpoints remember an idempotency key. */
    private static final int DEDUPLICATION_WINDOW_MS = 400;

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

    /** Blocks the event loop until it is released. It is blocked when this returns. */
    private CountDownLatch blockEventLoop() throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.sidecar.loop().execute(() -> block(blocked, release));
        blocked.await();
        return release;
    }

    private static void block(CountDownLatch blocked, CountDownLatch release) {
        blocked.countDown();
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- eviction ----

    /** Connects idle clients up to the limit, each of which has sent one request, and blocks the event loop. */
    private CountDownLatch connectIdleClientsAndBlock() throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served"));
        fixture.sockets = 1;
        fixture.start();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            assertEquals(
                    200,
                    client().send(fixture.request("read", DEADLINE_MS)).read().status());
        }
        return blockEventLoop();
    }

    /** Guards against closing a connection that has an unread request. */
    @Test
    void evictedConnectionHasNoUnreadRequest() throws Exception {
        CountDownLatch release = connectIdleClientsAndBlock();
        HttpTestConnection newClient = client();
        clients.get(0).send(fixture.request("order", DEADLINE_MS));
        release.countDown();
        assertEquals(
                200,
                clients.get(0).read().status(),
                "the connection that was idle the longest has just sent a request");
        clients.get(1).awaitEnd();
        assertEquals(
                200, newClient.send(fixture.request("read", DEADLINE_MS)).read().status());
    }

    /** Guards against new connections that evict one another while all others have sent half a request. */
    @Test
    void newConnectionIsNotEvicted() throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served"));
        fixture.sockets = 1;
        fixture.start();
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            client().send("GET /api HT");
        }
        fixture.awaitReusableConnections();
        HttpTestConnection newClient = client();
        clients.get(0).awaitEnd();
        client();
        clients.get(1).awaitEnd();
        assertEquals(
                200,
                newClient.send(fixture.request("order", DEADLINE_MS)).read().status());
    }

    /** Guards against a truncated rejection if no connection can be evicted. */
    @Test
    void connectionBeyondTheLimitGetsACompleteRejection() throws Exception {
        CountDownLatch release = connectIdleClientsAndBlock();
        HttpTestConnection newClient = client().send(fixture.request("order", DEADLINE_MS));
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            clients.get(i).send(fixture.request("read", DEADLINE_MS));
        }
        release.countDown();
        assertEquals(503, newClient.read().status());
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            // The balancer does not admit all requests at once, so that any may be rejected. Each must get a response.
            assertTrue(List.of(200, 503).contains(clients.get(i).read().status()));
        }
    }

    // ---- timeouts ----

    /** Guards against a time-out that expires in the loop iteration in which the rest of a request has arrived. */
    @ParameterizedTest
    @ValueSource(strings = {"idle", "first", "half"})
    void clientTimeoutDoesNotDropReceivedBytes(String state) throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served")).start();
        String request = fixture.request("read", DEADLINE_MS);
        int sentChars = 0;
        HttpTestConnection client = client();
        if (state.equals("idle")) {
            assertEquals(
                    200,
                    client.send(fixture.request("read", DEADLINE_MS)).read().status());
        } else if (state.equals("half")) {
            sentChars = request.length() / 2;
            client.send(request.substring(0, sentChars));
        }
        // Once another connection has its response, all bytes that arrived before are handled.
        assertEquals(
                404,
                client().send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").read().status());
        // A timer that is due before the time-out runs in the same loop iteration if the loop is late for both.
        CountDownLatch due = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch last = new CountDownLatch(1);
        CountDownLatch lastRelease = new CountDownLatch(1);
        fixture.sidecar.loop().execute(() -> {
            fixture.sidecar.loop().schedule(() -> block(last, lastRelease), 1, TimeUnit.MILLISECONDS);
            block(due, release);
        });
        due.await();
        TimeUnit.MILLISECONDS.sleep(BEYOND_CLIENT_TIMEOUTS_MS);
        release.countDown();
        last.await();
        client.send(request.substring(sentChars));
        lastRelease.countDown();
        assertEquals(200, client.read().status());
    }

    // ---- leaving endpoints ----

    /** Guards against attempts on a connection that is established only after its endpoint has begun to drain. */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "terminated", "moved", "suspended"})
    void attemptIsNotStartedOnALateConnectionToALeavingEndpoint(String change) throws Exception {
        CountDownLatch releaseList = new CountDownLatch(1);
        try (LateStubEndpoint late = new LateStubEndpoint();
                StubEndpoint other = StubEndpoint.respondingWith(200, "", "other")) {
            fixture = new SidecarFixture();
            fixture.drainGraceMs = 0;
            fixture.configChange = config -> config.replace(
                    "\"servers\":[]",
                    "\"servers\":[" + SidecarFixture.endpointJson(0, late.address(), "in_service", 0) + "]");
            String state = change.startsWith("terminat") ? change : "in_service";
            fixture.discovery.requestHandler = (connection, request) -> {
                if (fixture.discovery.requests.size() > 1) {
                    connection.awaitEnd();
                }
                releaseList.await();
                StubEndpoint.respond(
                        connection,
                        200,
                        "",
                        change.equals("moved")
                                ? SidecarFixture.endpointListJson(
                                        2, false, SidecarFixture.endpointJson(0, other.address(), "in_service", 0))
                                : SidecarFixture.endpointListJson(
                                        2,
                                        false,
                                        SidecarFixture.endpointJson(0, late.address(), state, 0),
                                        SidecarFixture.endpointJson(1, other.address(), "in_service", 0)));
            };
            fixture.start();
            HttpTestConnection client = client().send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await("the attempt waits for its connection", () -> fixture.openRequests() == 1);
            releaseList.countDown();
            SidecarFixture.await("the endpoint list is applied", () -> fixture.discovery.requests.size() == 2);
            if (change.equals("suspended")) {
                assertEquals(
                        200,
                        fixture.callAdmin("PUT", "/v1/endpoints/s0/suspend").status());
            }
            late.release();
            assertEquals("other", client.read().body());
            assertEquals(0, late.requestCount.get(), "no request is written to the late connection");
        }
    }

    /** Guards against a second execution by a retry whose connection is established after the key's window. */
    @Test
    void keyedRetryIsNotStartedAfterItsDeduplicationWindow() throws Exception {
        CountDownLatch releaseList = new CountDownLatch(1);
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            StubEndpoint first = new StubEndpoint((connection, request) -> {
                releaseList.countDown();
                SidecarFixture.await("the endpoint list is applied", () -> fixture.discovery.requests.size() == 2);
                connection.reset();
            });
            fixture = new SidecarFixture(first);
            fixture.configChange = config -> config.replace(
                    "\"effect\":\"once\"", "\"effect\":\"by_key\",\"memory-span-ms\":" + DEDUPLICATION_WINDOW_MS);
            fixture.discovery.requestHandler = (connection, request) -> {
                if (fixture.discovery.requests.size() > 1) {
                    connection.awaitEnd();
                }
                releaseList.await();
                StubEndpoint.respond(
                        connection,
                        200,
                        "",
                        SidecarFixture.endpointListJson(
                                2, false, SidecarFixture.endpointJson(1, late.address(), "in_service", 0)));
            };
            fixture.start();
            HttpTestConnection client = client().send(fixture.request("order", DEADLINE_MS));
            SidecarFixture.await(
                    "the first attempt has been reset", () -> first.open.get() == 0 && fixture.attempts() == 1);
            long windowEndNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DEDUPLICATION_WINDOW_MS);
            SidecarFixture.await("the deduplication window has passed", () -> System.nanoTime() > windowEndNs);
            late.release();
            assertEquals(503, client.read().status(), "endpoints may have forgotten the key");
            assertEquals(0, late.requestCount.get());
        }
    }

    // ---- restarts ----

    /** Guards against requests lost at a restart: a request not read yet, and one of which half has arrived. */
    @Test
    void stopRespondsToUnreadRequests() throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served")).start();
        HttpTestConnection half = client();
        String request = fixture.request("order", DEADLINE_MS);
        half.send(request.substring(0, request.length() / 2));
        CountDownLatch release = blockEventLoop();
        Thread stop = new Thread(fixture.sidecar::shutdownGracefully);
        stop.start();
        HttpTestConnection unread = client().send(fixture.request("order", DEADLINE_MS));
        HttpTestConnection waiting = client();
        half.send(request.substring(request.length() / 2));
        release.countDown();
        assertEquals(200, unread.read().status());
        assertEquals(200, half.read().status());
        SidecarFixture.await("the sidecar is stopping", () -> fixture.logged().contains("stopping"));
        assertEquals(
                200,
                waiting.send(fixture.request("order", DEADLINE_MS)).read().status(),
                "first request on a connection");
        assertEquals(
                200,
                unread.send(fixture.request("order", DEADLINE_MS)).read().status(),
                "second request on a connection");
        stop.join();
    }

    // ---- balancer failures ----

    /** Guards against a final response only at the deadline if the balancer fails with an attempt in flight. */
    @Test
    void requestIsAbandonedOnceNoAttemptIsInFlightAfterABalancerFailure() throws Exception {
        fixture = new SidecarFixture(StubEndpoint.respondingWith(500, "", ""));
        fixture.start((settings, seed, host) -> new FailingLoadBalancer(host));
        long startNs = System.nanoTime();
        assertEquals(502, fixture.sendRequest("order", DEADLINE_MS).status());
        assertTrue(
                (System.nanoTime() - startNs) / 1e6 < DEADLINE_MS / 2.0, "the response comes long before the deadline");
        SidecarFixture.await("no request is open any more", () -> fixture.openRequests() == 0);
    }

    /** A load balancer that throws an exception after it has started an attempt, and ignores the result. */
    private record FailingLoadBalancer(LoadBalancerHost host) implements LoadBalancer {

        @Override
        public void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> entries) {}

        @Override
        public void onRequest(double now, Request request) {
            host.startAttempt(request.id(), "s0", 0);
            throw new IllegalStateException("thrown by the test");
        }

        @Override
        public void onResponseStreamStarted(double now, String request, int attempt) {}

        @Override
        public void onAttemptFinished(double now, AttemptResult finished) {}

        @Override
        public void onRequestCancelled(double now, String request) {}

        @Override
        public void onTimer(double now, long name) {}
    }
}
