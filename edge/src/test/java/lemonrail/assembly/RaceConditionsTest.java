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

/** Connections or attempts that end at the instant in which a request, a response or a result is on its way. */
@Timeout(60)
class RaceConditionsTest {

    private static final int DEADLINE_MS = 8000;
    /** As many clients as may connect with few descriptors. */
    private static final int ROOM = 8;
    /** Longer than each timeout of a client's connection. */
    private static final long PAST_MS = 5300;
    /** How long endpoints remember a key. */
    private static final int WINDOW_MS = 400;

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

    /** Blocks the event loop until it is released. It is blocked when this returns. */
    private CountDownLatch hold() throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        rig.sidecar.loop().execute(() -> block(held, release));
        held.await();
        return release;
    }

    private static void block(CountDownLatch held, CountDownLatch release) {
        held.countDown();
        try {
            release.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- eviction ----

    /** Connects as many idle clients as may connect, each of which has sent a request, and blocks the event loop. */
    private CountDownLatch fillAndHold() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served"));
        rig.sockets = 1;
        rig.start();
        for (int i = 0; i < ROOM; i++) {
            assertEquals(
                    200, client().send(rig.request("read", DEADLINE_MS)).read().status());
        }
        return hold();
    }

    /** Guards against closing a connection that has an unread request. */
    @Test
    void evictedConnectionHasNoUnreadRequest() throws Exception {
        CountDownLatch release = fillAndHold();
        HttpTestConnection newcomer = client();
        clients.get(0).send(rig.request("order", DEADLINE_MS));
        release.countDown();
        assertEquals(200, clients.get(0).read().status(), "the longest idle one has just sent a request");
        clients.get(1).awaitEnd();
        assertEquals(200, newcomer.send(rig.request("read", DEADLINE_MS)).read().status());
    }

    /** Guards against new connections that evict one another while others hold half a request each. */
    @Test
    void newConnectionIsNotEvicted() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served"));
        rig.sockets = 1;
        rig.start();
        for (int i = 0; i < ROOM; i++) {
            client().send("GET /api HT");
        }
        rig.settle();
        HttpTestConnection newcomer = client();
        clients.get(0).awaitEnd();
        client();
        clients.get(1).awaitEnd();
        assertEquals(
                200, newcomer.send(rig.request("order", DEADLINE_MS)).read().status());
    }

    /** Guards against a rejection that its client does not receive whole, when no connection can be evicted. */
    @Test
    void connectionBeyondTheLimitGetsACompleteRejection() throws Exception {
        CountDownLatch release = fillAndHold();
        HttpTestConnection newcomer = client().send(rig.request("order", DEADLINE_MS));
        for (int i = 0; i < ROOM; i++) {
            clients.get(i).send(rig.request("read", DEADLINE_MS));
        }
        release.countDown();
        assertEquals(503, newcomer.read().status());
        for (int i = 0; i < ROOM; i++) {
            // More than the balancer admits at once; what counts is that each gets its response.
            assertTrue(List.of(200, 503).contains(clients.get(i).read().status()));
        }
    }

    // ---- timeouts ----

    /** Guards against timeouts that are due in the iteration in which the rest of a request has arrived. */
    @ParameterizedTest
    @ValueSource(strings = {"idle", "first", "half"})
    void clientTimeoutDoesNotDropReceivedBytes(String state) throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served")).start();
        String request = rig.request("read", DEADLINE_MS);
        int sent = 0;
        HttpTestConnection client = client();
        if (state.equals("idle")) {
            assertEquals(
                    200, client.send(rig.request("read", DEADLINE_MS)).read().status());
        } else if (state.equals("half")) {
            sent = request.length() / 2;
            client.send(request.substring(0, sent));
        }
        // All that has arrived so far is handled once another connection has its response.
        assertEquals(
                404,
                client().send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").read().status());
        // A timer due before the timeout runs in the same iteration if the loop is late for both.
        CountDownLatch due = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch last = new CountDownLatch(1);
        CountDownLatch lastRelease = new CountDownLatch(1);
        rig.sidecar.loop().execute(() -> {
            rig.sidecar.loop().schedule(() -> block(last, lastRelease), 1, TimeUnit.MILLISECONDS);
            block(due, release);
        });
        due.await();
        TimeUnit.MILLISECONDS.sleep(PAST_MS);
        release.countDown();
        last.await();
        client.send(request.substring(sent));
        lastRelease.countDown();
        assertEquals(200, client.read().status());
    }

    // ---- leaving endpoints ----

    /** Guards against attempts after a drain, when the connection is established late. */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "terminated", "moved", "suspended"})
    void attemptIsNotStartedOnALateConnectionToALeavingEndpoint(String how) throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        try (LateStubEndpoint late = new LateStubEndpoint();
                StubEndpoint other = StubEndpoint.respondingWith(200, "", "other")) {
            rig = new SidecarFixture();
            rig.graceMs = 0;
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + SidecarFixture.line(0, late.address(), "in_service", 0) + "]");
            String state = how.startsWith("terminat") ? how : "in_service";
            rig.discovery.requestHandler = (wire, request) -> {
                if (rig.discovery.requests.size() > 1) {
                    wire.awaitEnd();
                }
                told.await();
                StubEndpoint.respond(
                        wire,
                        200,
                        "",
                        how.equals("moved")
                                ? SidecarFixture.list(
                                        2, false, SidecarFixture.line(0, other.address(), "in_service", 0))
                                : SidecarFixture.list(
                                        2,
                                        false,
                                        SidecarFixture.line(0, late.address(), state, 0),
                                        SidecarFixture.line(1, other.address(), "in_service", 0)));
            };
            rig.start();
            HttpTestConnection client = client().send(rig.request("order", DEADLINE_MS));
            SidecarFixture.await("it waits for its connection", () -> rig.openRequests() == 1);
            told.countDown();
            SidecarFixture.await("the list is there", () -> rig.discovery.requests.size() == 2);
            if (how.equals("suspended")) {
                assertEquals(
                        200, rig.callAdmin("PUT", "/v1/endpoints/s0/suspend").status());
            }
            late.release();
            assertEquals("other", client.read().body());
            assertEquals(0, late.asked.get(), "nothing is written to the late connection");
        }
    }

    /** Guards against a second execution by a retry whose connection is established after the key's window. */
    @Test
    void keyedRetryIsNotStartedAfterItsDeduplicationWindow() throws Exception {
        CountDownLatch told = new CountDownLatch(1);
        try (LateStubEndpoint late = new LateStubEndpoint()) {
            StubEndpoint first = new StubEndpoint((wire, request) -> {
                told.countDown();
                SidecarFixture.await("the list is there", () -> rig.discovery.requests.size() == 2);
                wire.reset();
            });
            rig = new SidecarFixture(first);
            rig.change = config ->
                    config.replace("\"effect\":\"once\"", "\"effect\":\"by_key\",\"memory-span-ms\":" + WINDOW_MS);
            rig.discovery.requestHandler = (wire, request) -> {
                if (rig.discovery.requests.size() > 1) {
                    wire.awaitEnd();
                }
                told.await();
                StubEndpoint.respond(
                        wire,
                        200,
                        "",
                        SidecarFixture.list(2, false, SidecarFixture.line(1, late.address(), "in_service", 0)));
            };
            rig.start();
            HttpTestConnection client = client().send(rig.request("order", DEADLINE_MS));
            SidecarFixture.await("it has been reset", () -> first.open.get() == 0 && rig.attempts() == 1);
            long over = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WINDOW_MS);
            SidecarFixture.await("its window is over", () -> System.nanoTime() > over);
            late.release();
            assertEquals(503, client.read().status(), "its endpoints may have forgotten the key");
            assertEquals(0, late.asked.get());
        }
    }

    // ---- restarts ----

    /** Guards against requests lost at a restart: an unread one, and one of which half has arrived. */
    @Test
    void stopRespondsToUnreadRequests() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(200, "", "served")).start();
        HttpTestConnection half = client();
        String request = rig.request("order", DEADLINE_MS);
        half.send(request.substring(0, request.length() / 2));
        CountDownLatch release = hold();
        Thread stop = new Thread(rig.sidecar::shutdownGracefully);
        stop.start();
        HttpTestConnection unread = client().send(rig.request("order", DEADLINE_MS));
        HttpTestConnection waiting = client();
        half.send(request.substring(request.length() / 2));
        release.countDown();
        assertEquals(200, unread.read().status());
        assertEquals(200, half.read().status());
        SidecarFixture.await("it stops", () -> rig.logged().contains("stopping"));
        assertEquals(200, waiting.send(rig.request("order", DEADLINE_MS)).read().status(), "new");
        assertEquals(200, unread.send(rig.request("order", DEADLINE_MS)).read().status(), "kept");
        stop.join();
    }

    // ---- balancer failures ----

    /** Guards against a response only at the deadline when the balancer fails with an attempt in flight. */
    @Test
    void requestIsAbandonedOnceNoAttemptIsInFlightAfterABalancerFailure() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(500, "", ""));
        rig.start((settings, seed, host) -> new Failing(host));
        long began = System.nanoTime();
        assertEquals(502, rig.ask("order", DEADLINE_MS).status());
        assertTrue((System.nanoTime() - began) / 1e6 < DEADLINE_MS / 2.0, "long before the deadline");
        SidecarFixture.await("nothing is left", () -> rig.openRequests() == 0);
    }

    /** Throws after it has started an attempt, and ignores its result. */
    private record Failing(LoadBalancerHost host) implements LoadBalancer {

        @Override
        public void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> entries) {}

        @Override
        public void onRequest(double now, Request request) {
            host.startAttempt(request.id(), "s0", 0);
            throw new IllegalStateException("for the test");
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
