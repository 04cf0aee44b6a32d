package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.UnaryOperator;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.policy.BoxcarLoadBalancer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A watch that dies in whatever way is opened anew soon, and what it missed is asked for again. */
@Timeout(60)
class WatchTest {

    private static final int DEADLINE_MS = 8000;
    /** What a dead watch misses binds so long after it fell silent. */
    private static final double BINDS_MS = 6000;
    /** Calls that fail one after another, and the least pause between two. */
    private static final int CALLS = 30;

    private static final double LEAST_PAUSE_MS = 50;
    /** Longer than an answer is awaited by a rig whose calls wait for 1 s. */
    private static final int BUSY_MS = 1800;
    /** Between two pieces of an answer: each comes before the silence would be a failure. */
    private static final int PIECE_MS = 100;
    /** So long a connection is tried until the listener's queue counts as full. */
    private static final int QUEUE_MS = 300;
    /** Failures in a row until the pauses would be longer than the time in which a change binds. */
    private static final int FAILURES = 7;

    private final StubEndpoint before = StubEndpoint.respondingWith(200, "", "before");
    private final StubEndpoint after = StubEndpoint.respondingWith(200, "", "after");
    private final SidecarFixture rig = new SidecarFixture(before);

    WatchTest() throws IOException {
        // The module itself would not ask again within any test.
        rig.askWithinMs = 600_000;
        rig.discoveryWaitMs = 1000;
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
        after.close();
    }

    private String news(int version) {
        return SidecarFixture.list(version, true, SidecarFixture.line(1, after.address(), "in_service", 0))
                .replace(",", ",\n    ")
                .replace("{", "{\n  ");
    }

    private static void die(HttpTestConnection wire, String how, String news) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + news.length() + "\r\n\r\n";
        switch (how) {
            case "reset" -> wire.reset();
            case "close" -> wire.close();
            case "headers" -> wire.send(head).awaitEnd();
            case "half" ->
                wire.send(head + news.substring(0, news.length() / 2)).awaitEnd();
            case "cut" -> wire.send(head + news.substring(0, news.length() / 2)).close();
            case "garbage" -> wire.send("what?\r\n\r\n").awaitEnd();
            case "unparsed" -> StubEndpoint.respond(wire, 200, "", news.replace("in_service", "who knows"));
            case "error" -> StubEndpoint.respond(wire, 503, "", "");
            default -> wire.awaitEnd();
        }
    }

    /** Guards against trust in a dead watch, also where the module asks for lists and has its own pace. */
    @ParameterizedTest
    @CsvSource({
        "silent,on_request",
        "silent,pushed",
        "headers,on_request",
        "half,on_request",
        "half,pushed",
        "reset,on_request",
        "reset,pushed",
        "close,on_request",
        "cut,pushed",
        "garbage,on_request",
        "unparsed,on_request",
        "unparsed,pushed",
        "error,on_request"
    })
    void aWatchThatDiesIsOpenedAnew(String how, String mode) throws Exception {
        rig.change = config -> config.replace("on_request", mode);
        rig.discovery.requestHandler = (wire, request) -> {
            if (rig.discovery.requests.size() == 1) {
                die(wire, how, news(7));
            } else if (rig.discovery.requests.size() == 2) {
                StubEndpoint.respond(wire, 200, "", news(7));
            } else {
                wire.awaitEnd();
            }
        };
        rig.start();
        SidecarFixture.await("it is open", () -> rig.discovery.requests.size() >= 1);
        long dead = System.nanoTime();
        SidecarFixture.await("the list is there", () -> rig.discovery.requests.size() >= 3);
        assertTrue((System.nanoTime() - dead) / 1e6 < BINDS_MS);
        assertEquals(
                "GET /registry/instances?index=1&wait=100 HTTP/1.1",
                rig.discovery.requests.get(1).line(),
                "nothing is lost");
        assertEquals(
                "GET /registry/instances?index=7&wait=1000 HTTP/1.1",
                rig.discovery.requests.get(2).line());
        assertEquals("after", rig.ask("order", DEADLINE_MS).body());
    }

    /** Guards against watches that multiply: the module asks by its own timer, and each call fails. */
    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void aPlaceThatRefusesIsAskedByOneWatchOnly(String mode) throws Exception {
        rig.askWithinMs = 20;
        rig.graceMs = 0;
        rig.change = config -> config.replace("on_request", mode);
        rig.discovery.requestHandler = (wire, request) -> wire.reset();
        rig.start();
        SidecarFixture.await("it is open", () -> rig.discovery.requests.size() >= 1);
        long began = System.nanoTime();
        SidecarFixture.await("it is asked again and again", () -> rig.discovery.requests.size() >= CALLS);
        assertTrue((System.nanoTime() - began) / 1e6 >= (CALLS - 3) * LEAST_PAUSE_MS, "each after a pause");
    }

    /** Guards against an old place that still speaks, and a failure's pause that still runs there. */
    @Test
    void theOldPlaceIsNotHeardAfterAMove() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        rig.discovery.requestHandler = (wire, request) -> {
            if (rig.discovery.requests.size() == 1) {
                // The pause after this still runs when discovery moves.
                wire.reset();
            } else {
                moved.await();
                StubEndpoint.respond(
                        wire,
                        200,
                        "",
                        SidecarFixture.list(99, true, SidecarFixture.line(0, before.address(), "in_service", 0)));
            }
        };
        rig.start();
        SidecarFixture.await("the watch has failed", () -> rig.logged().contains("discovery failed"));
        try (StubEndpoint next = new StubEndpoint((wire, request) -> {
            if (request.line().contains("index")) {
                wire.awaitEnd();
            } else {
                StubEndpoint.respond(wire, 200, "", news(3));
            }
        })) {
            Files.writeString(rig.configFile, rig.config().replace(rig.discovery.address(), next.address()));
            rig.sidecar.reload();
            SidecarFixture.await("the list is there", () -> next.requests.size() == 2);
            moved.countDown();
            for (int i = 0; i < 3; i++) {
                assertEquals("after", rig.ask("order", DEADLINE_MS).body());
            }
            assertEquals(1, next.connections.get(), "one watch");
            assertEquals(2, next.requests.size());
        }
    }

    // ---- in a fleet whose size sets the wait ----

    /** Told so in the settings; the wait follows from it. */
    private void among(int instances) {
        rig.discoveryWaitMs = 0;
        rig.graceMs = 1000;
        String count = "\"replicas-of-me\":";
        rig.change = config -> config.replace(count + "1,", count + instances + ",");
    }

    /** Guards against changes that are known too late: this one is had by discovery at this time. */
    private void isInForceInTime(long hadNs) throws Exception {
        SidecarFixture.await(
                "the list is there",
                () -> rig.discovery.requests.stream()
                        .anyMatch(request -> request.line().contains("index=7")));
        assertEquals("after", rig.ask("order", DEADLINE_MS).body());
        double tookMs = (System.nanoTime() - hadNs) / 1e6;
        assertTrue(tookMs < BINDS_MS, tookMs + " ms");
    }

    /** The change comes just as the call is made, so all of its wait is lost. */
    @ParameterizedTest
    @CsvSource({
        "silent,1",
        "silent,2",
        "headers,1",
        "headers,2",
        "half,1",
        "pieces,1",
        "reset,3",
        "error,3",
        "garbage,3"
    })
    void aLargeFleetKnowsInTimeWhatDeadWatchesMissed(String how, int calls) throws Exception {
        among(1000);
        rig.discovery.requestHandler = (wire, request) -> {
            int call = rig.discovery.requests.size();
            if (call > calls) {
                rig.discovery.requestHandler = (next, later) -> next.awaitEnd();
                StubEndpoint.respond(wire, 200, "", news(7));
            } else if (how.equals("pieces")) {
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + news(7).length() + "\r\n\r\n");
                for (char piece : news(7).toCharArray()) {
                    wire.send(String.valueOf(piece));
                    Thread.sleep(PIECE_MS);
                }
            } else {
                die(wire, how, news(7));
            }
        };
        rig.start();
        SidecarFixture.await("it is open", () -> rig.discovery.requests.size() >= 1);
        isInForceInTime(System.nanoTime());
    }

    /** Guards against pauses that have grown long by the time at which discovery can be reached. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "silent"})
    void aLargeFleetKnowsInTimeWhatDiscoveryHasAtItsReturn(String how) throws Exception {
        among(1000);
        // As the pauses would have it, if nothing else bounded them: the mean up to 10 s.
        rig.graceMs = 30_000;
        CountDownLatch back = new CountDownLatch(1);
        rig.discovery.requestHandler = (wire, request) -> {
            if (back.getCount() == 0) {
                rig.discovery.requestHandler = (next, later) -> next.awaitEnd();
                StubEndpoint.respond(wire, 200, "", news(7));
            } else {
                die(wire, how, news(7));
            }
        };
        rig.start();
        SidecarFixture.await("it has paused for longer and longer", () -> rig.discovery.requests.size() >= FAILURES);
        back.countDown();
        isInForceInTime(System.nanoTime());
    }

    /** Guards against connections that never come up: with a full queue of the listener nothing is said. */
    @Test
    void aLargeFleetKnowsInTimeAfterConnectionsThatNeverCameUp() throws Exception {
        among(1000);
        List<Socket> waiting = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            assertThrows(SocketTimeoutException.class, () -> {
                while (true) {
                    Socket one = new Socket();
                    waiting.add(one);
                    one.connect(full.getLocalSocketAddress(), QUEUE_MS);
                }
            });
            UnaryOperator<String> large = rig.change;
            rig.change =
                    config -> large.apply(config).replace(rig.discovery.address(), "127.0.0.1:" + full.getLocalPort());
            rig.start();
            SidecarFixture.await(
                    "connections did not come up", () -> rig.logged().contains("discovery failed"));
            long reachable = System.nanoTime();
            for (Socket one : waiting) {
                one.close();
            }
            List<String> asked = new CopyOnWriteArrayList<>();
            Thread serving = new Thread(() -> serve(full, asked));
            serving.setDaemon(true);
            serving.start();
            SidecarFixture.await("the list is there", () -> asked.stream().anyMatch(line -> line.contains("index=7")));
            assertEquals("after", rig.ask("order", DEADLINE_MS).body());
            double tookMs = (System.nanoTime() - reachable) / 1e6;
            assertTrue(tookMs < BINDS_MS, tookMs + " ms");
        }
    }

    private void serve(ServerSocket listener, List<String> asked) {
        while (!listener.isClosed()) {
            try (HttpTestConnection wire = new HttpTestConnection(listener.accept())) {
                asked.add(wire.read().line());
                StubEndpoint.respond(wire, 200, "", news(7));
                asked.add(wire.read().line());
                wire.awaitEnd();
            } catch (IOException e) {
                // One that had given up, or the test is over.
                continue;
            }
        }
    }

    /** Guards against long lists that are given up as they come, and asked for again and again. */
    @Test
    void aWholeListMayComeInPieces() throws Exception {
        among(1000);
        try (StubEndpoint next = new StubEndpoint((wire, request) -> {
            if (request.line().contains("index")) {
                wire.awaitEnd();
            } else {
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: " + news(7).length() + "\r\n\r\n");
                for (String part : news(7).split("(?<=,)")) {
                    Thread.sleep(PIECE_MS);
                    wire.send(part);
                }
            }
        })) {
            rig.start();
            SidecarFixture.await("it is open", () -> rig.discovery.requests.size() >= 1);
            long moved = System.nanoTime();
            Files.writeString(
                    rig.configFile, rig.change.apply(rig.config()).replace(rig.discovery.address(), next.address()));
            rig.sidecar.reload();
            SidecarFixture.await("the list is there", () -> next.requests.size() == 2);
            assertEquals("after", rig.ask("order", DEADLINE_MS).body());
            assertTrue((System.nanoTime() - moved) / 1e6 < BINDS_MS);
            assertFalse(rig.logged().contains("discovery failed"), rig.logged());
        }
    }

    // ---- while the loop is busy, as at a start ----

    /** A decider that keeps the loop busy over its first request, as the warm-up does: while it reads. */
    private static LoadBalancerFactory busyUntil(CountDownLatch busy, CountDownLatch release) {
        return (settings, seed, host) -> {
            LoadBalancer decide = new BoxcarLoadBalancer(settings, seed, host);
            Class<?>[] kinds = {LoadBalancer.class};
            return (LoadBalancer)
                    Proxy.newProxyInstance(LoadBalancer.class.getClassLoader(), kinds, (proxy, method, arguments) -> {
                        if (method.getName().equals("onRequest")) {
                            busy.countDown();
                            release.await();
                        }
                        return method.invoke(decide, arguments);
                    });
        };
    }

    private static void awaitPassed(long sinceNs, int ms) throws InterruptedException {
        SidecarFixture.await("time", () -> System.nanoTime() - sinceNs > ms * 1_000_000L);
    }

    /** Guards against an answer that has come in time, and is given up as nobody had read it. */
    @Test
    void anAnswerIsTakenThoughTheLoopWasBusyBeyondItsTime() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        rig.discovery.requestHandler = (wire, request) -> {
            if (rig.discovery.requests.size() > 1) {
                rig.discovery.requestHandler = (next, later) -> next.awaitEnd();
                answer.await();
                StubEndpoint.respond(wire, 200, "", news(7));
            } else {
                StubEndpoint.respond(wire, 200, "", news(6));
            }
        };
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        rig.start(busyUntil(busy, release));
        SidecarFixture.await("it waits", () -> rig.discovery.requests.size() == 2);
        try (HttpTestConnection client = rig.client()) {
            client.send(rig.request("read", DEADLINE_MS));
            busy.await();
            answer.countDown();
            awaitPassed(System.nanoTime(), BUSY_MS);
            release.countDown();
            SidecarFixture.await("the list is there", () -> rig.discovery.requests.size() == 3);
            assertEquals(200, client.read().status());
        }
        assertEquals(1, rig.discovery.connections.get());
        assertFalse(rig.logged().contains("discovery failed"), rig.logged());
    }
}
