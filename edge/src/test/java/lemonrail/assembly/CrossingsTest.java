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

/** What ends a connection or an attempt in the very instant in which something is still owed on it. */
@Timeout(60)
class CrossingsTest {

    private static final int DEADLINE_MS = 8000;
    /** As many clients as there is room for with hardly a descriptor. */
    private static final int ROOM = 8;
    /** Beyond each time limit of a client's connection. */
    private static final long PAST_MS = 5300;
    /** For so long endpoints know a key. */
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

    /** Keeps the event loop from all else until it is let go; it is held when this returns. */
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

    // ---- room ----

    /** All the room is taken by clients that have asked and are idle, and the loop is held. */
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

    /** Guards against the close of a connection on which a request has come that is not read yet. */
    @Test
    void whoMakesRoomHasNothingUnread() throws Exception {
        CountDownLatch release = fillAndHold();
        HttpTestConnection newcomer = client();
        clients.get(0).send(rig.request("order", DEADLINE_MS));
        release.countDown();
        assertEquals(200, clients.get(0).read().status(), "the longest idle one has just asked");
        clients.get(1).awaitEnd();
        assertEquals(200, newcomer.send(rig.request("read", DEADLINE_MS)).read().status());
    }

    /** Guards against newcomers that make room for one another, as others hold half a request each. */
    @Test
    void whoHasJustComeDoesNotMakeRoom() throws Exception {
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

    /** Guards against a refusal that its client never gets: where nobody can make room, it is whole. */
    @Test
    void whoFindsNoRoomIsRefusedInGoodOrder() throws Exception {
        CountDownLatch release = fillAndHold();
        HttpTestConnection newcomer = client().send(rig.request("order", DEADLINE_MS));
        for (int i = 0; i < ROOM; i++) {
            clients.get(i).send(rig.request("read", DEADLINE_MS));
        }
        release.countDown();
        assertEquals(503, newcomer.read().status());
        for (int i = 0; i < ROOM; i++) {
            // More at once than the module lets through; what counts is that each has its answer.
            assertTrue(List.of(200, 503).contains(clients.get(i).read().status()));
        }
    }

    // ---- time ----

    /** Guards against time limits that fall due in the turn in which the rest of a request has come. */
    @ParameterizedTest
    @ValueSource(strings = {"idle", "first", "half"})
    void aTimeLimitDoesNotCutWhatHasCome(String state) throws Exception {
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
        // All that has come so far is dealt with once another connection has its answer.
        assertEquals(
                404,
                client().send("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").read().status());
        // What is due before the time limit runs in the same turn, if the loop comes to both too late.
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

    // ---- endpoints that leave ----

    /** Guards against sends after a drain: the connection comes up when its endpoint takes nothing new. */
    @ParameterizedTest
    @ValueSource(strings = {"terminating", "terminated", "moved", "suspended"})
    void whatComesUpTooLateIsSentElsewhere(String how) throws Exception {
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
            assertEquals(0, late.asked.get(), "nothing is written on a connection from before");
        }
    }

    /** Guards against an effect that happens twice: a repeat's connection comes up after the key's window. */
    @Test
    void aKeysRepeatIsNotBegunAfterItsWindow() throws Exception {
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
            assertEquals(503, client.read().status(), "its endpoints knew it for so long only");
            assertEquals(0, late.asked.get());
        }
    }

    // ---- a restart ----

    /** Guards against requests lost at a restart: one that is unread, and one of which half has come. */
    @Test
    void aStopAnswersWhatHasNotBeenReadYet() throws Exception {
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

    // ---- a module that fails ----

    /** Guards against an answer that only the deadline brings: the module has failed with an attempt out. */
    @Test
    void whatTheModuleFailsOverIsAnsweredOnceNothingIsOut() throws Exception {
        rig = new SidecarFixture(StubEndpoint.respondingWith(500, "", ""));
        rig.start((settings, seed, host) -> new Failing(host));
        long began = System.nanoTime();
        assertEquals(502, rig.ask("order", DEADLINE_MS).status());
        assertTrue((System.nanoTime() - began) / 1e6 < DEADLINE_MS / 2.0, "long before the deadline");
        SidecarFixture.await("nothing is left", () -> rig.openRequests() == 0);
    }

    /** Fails after it has sent a request, and knows nothing of it from then on. */
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
