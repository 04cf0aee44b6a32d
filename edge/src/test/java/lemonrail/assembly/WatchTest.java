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

/** A watch that fails in whatever way resumes soon, and what it missed is requested again. */
@Timeout(60)
class WatchTest {

    private static final int DEADLINE_MS = 8000;
    /** The time in which a change that a failed watch missed must be in force. */
    private static final double IN_FORCE_WITHIN_MS = 6000;
    /** Requests that fail in a row, and the shortest backoff between two. */
    private static final int FAILED_REQUESTS = 30;

    private static final double MIN_BACKOFF_MS = 50;
    /** Longer than the response time-out of a rig whose requests wait for 1 s. */
    private static final int BUSY_MS = 1800;
    /** The time between two parts of a response, below the time-out for each. */
    private static final int PART_INTERVAL_MS = 100;
    /** A connect that takes longer shows that the accept queue is full. */
    private static final int CONNECT_TIMEOUT_MS = 300;
    /** Failures in a row after which an unbounded backoff would be longer than the time limit. */
    private static final int FAILURES = 7;

    private final StubEndpoint before = StubEndpoint.respondingWith(200, "", "before");
    private final StubEndpoint after = StubEndpoint.respondingWith(200, "", "after");
    private final SidecarFixture rig = new SidecarFixture(before);

    WatchTest() throws IOException {
        // The load balancer itself would not poll again within any test.
        rig.askWithinMs = 600_000;
        rig.discoveryWaitMs = 1000;
    }

    @AfterEach
    void stop() throws IOException {
        rig.close();
        after.close();
    }

    private String listWithOtherEndpoint(int version) {
        return SidecarFixture.list(version, true, SidecarFixture.line(1, after.address(), "in_service", 0))
                .replace(",", ",\n    ")
                .replace("{", "{\n  ");
    }

    private static void fail(HttpTestConnection wire, String failure, String list) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n";
        switch (failure) {
            case "reset" -> wire.reset();
            case "close" -> wire.close();
            case "headers" -> wire.send(head).awaitEnd();
            case "half" ->
                wire.send(head + list.substring(0, list.length() / 2)).awaitEnd();
            case "cut" -> wire.send(head + list.substring(0, list.length() / 2)).close();
            case "garbage" -> wire.send("what?\r\n\r\n").awaitEnd();
            case "unparsed" -> StubEndpoint.respond(wire, 200, "", list.replace("in_service", "who knows"));
            case "error" -> StubEndpoint.respond(wire, 503, "", "");
            default -> wire.awaitEnd();
        }
    }

    /** Guards against trust in a failed watch, also where the load balancer polls on its own schedule. */
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
    void aFailedWatchResumes(String failure, String mode) throws Exception {
        rig.change = config -> config.replace("on_request", mode);
        rig.discovery.requestHandler = (wire, request) -> {
            if (rig.discovery.requests.size() == 1) {
                fail(wire, failure, listWithOtherEndpoint(7));
            } else if (rig.discovery.requests.size() == 2) {
                StubEndpoint.respond(wire, 200, "", listWithOtherEndpoint(7));
            } else {
                wire.awaitEnd();
            }
        };
        rig.start();
        SidecarFixture.await("the watch is open", () -> rig.discovery.requests.size() >= 1);
        long failedNs = System.nanoTime();
        SidecarFixture.await("the list is there", () -> rig.discovery.requests.size() >= 3);
        assertTrue((System.nanoTime() - failedNs) / 1e6 < IN_FORCE_WITHIN_MS);
        assertEquals(
                "GET /registry/instances?index=1&wait=100 HTTP/1.1",
                rig.discovery.requests.get(1).line(),
                "the watch resumes from the known version");
        assertEquals(
                "GET /registry/instances?index=7&wait=1000 HTTP/1.1",
                rig.discovery.requests.get(2).line());
        assertEquals("after", rig.ask("order", DEADLINE_MS).body());
    }

    /** Guards against watches that multiply: the load balancer polls by its own timer, and each request fails. */
    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void aFailingDiscoveryIsPolledByOneWatchOnly(String mode) throws Exception {
        rig.askWithinMs = 20;
        rig.graceMs = 0;
        rig.change = config -> config.replace("on_request", mode);
        rig.discovery.requestHandler = (wire, request) -> wire.reset();
        rig.start();
        SidecarFixture.await("the watch is open", () -> rig.discovery.requests.size() >= 1);
        long began = System.nanoTime();
        SidecarFixture.await("it is polled again and again", () -> rig.discovery.requests.size() >= FAILED_REQUESTS);
        assertTrue((System.nanoTime() - began) / 1e6 >= (FAILED_REQUESTS - 3) * MIN_BACKOFF_MS, "each after a backoff");
    }

    /** Guards against a former address that still responds, and a backoff that still runs there. */
    @Test
    void theFormerAddressIsIgnoredAfterAMove() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        rig.discovery.requestHandler = (wire, request) -> {
            if (rig.discovery.requests.size() == 1) {
                // The backoff after this still runs when discovery moves.
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
                StubEndpoint.respond(wire, 200, "", listWithOtherEndpoint(3));
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

    /** Configures the size of the fleet, which determines the wait. */
    private void setFleetSize(int instances) {
        rig.discoveryWaitMs = 0;
        rig.graceMs = 1000;
        String count = "\"replicas-of-me\":";
        rig.change = config -> config.replace(count + "1,", count + instances + ",");
    }

    /** Guards against changes that are in force too late after discovery has them. */
    private void assertInForceInTime(long availableNs) throws Exception {
        SidecarFixture.await(
                "the list is there",
                () -> rig.discovery.requests.stream()
                        .anyMatch(request -> request.line().contains("index=7")));
        assertEquals("after", rig.ask("order", DEADLINE_MS).body());
        double tookMs = (System.nanoTime() - availableNs) / 1e6;
        assertTrue(tookMs < IN_FORCE_WITHIN_MS, tookMs + " ms");
    }

    /** The change is made right after the request, so that all of its wait is lost. */
    @ParameterizedTest
    @CsvSource({"silent,1", "silent,2", "headers,1", "headers,2", "half,1", "parts,1", "reset,3", "error,3", "garbage,3"
    })
    void aLargeFleetLearnsInTimeWhatFailedWatchesMissed(String failure, int failures) throws Exception {
        setFleetSize(1000);
        rig.discovery.requestHandler = (wire, request) -> {
            int call = rig.discovery.requests.size();
            if (call > failures) {
                rig.discovery.requestHandler = (next, later) -> next.awaitEnd();
                StubEndpoint.respond(wire, 200, "", listWithOtherEndpoint(7));
            } else if (failure.equals("parts")) {
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: "
                        + listWithOtherEndpoint(7).length() + "\r\n\r\n");
                for (char part : listWithOtherEndpoint(7).toCharArray()) {
                    wire.send(String.valueOf(part));
                    Thread.sleep(PART_INTERVAL_MS);
                }
            } else {
                fail(wire, failure, listWithOtherEndpoint(7));
            }
        };
        rig.start();
        SidecarFixture.await("the watch is open", () -> rig.discovery.requests.size() >= 1);
        assertInForceInTime(System.nanoTime());
    }

    /** Guards against a backoff that has grown long by the time discovery can be reached. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "silent"})
    void aLargeFleetLearnsInTimeWhatDiscoveryHasAtItsReturn(String failure) throws Exception {
        setFleetSize(1000);
        // Permits a mean backoff of up to 10 s, if nothing else bounds it.
        rig.graceMs = 30_000;
        CountDownLatch back = new CountDownLatch(1);
        rig.discovery.requestHandler = (wire, request) -> {
            if (back.getCount() == 0) {
                rig.discovery.requestHandler = (next, later) -> next.awaitEnd();
                StubEndpoint.respond(wire, 200, "", listWithOtherEndpoint(7));
            } else {
                fail(wire, failure, listWithOtherEndpoint(7));
            }
        };
        rig.start();
        SidecarFixture.await("the backoff has grown", () -> rig.discovery.requests.size() >= FAILURES);
        back.countDown();
        assertInForceInTime(System.nanoTime());
    }

    /** Guards against connects that never complete: a full accept queue drops them silently. */
    @Test
    void aLargeFleetLearnsInTimeAfterConnectsThatNeverCompleted() throws Exception {
        setFleetSize(1000);
        List<Socket> waiting = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            assertThrows(SocketTimeoutException.class, () -> {
                while (true) {
                    Socket one = new Socket();
                    waiting.add(one);
                    one.connect(full.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
                }
            });
            UnaryOperator<String> large = rig.change;
            rig.change =
                    config -> large.apply(config).replace(rig.discovery.address(), "127.0.0.1:" + full.getLocalPort());
            rig.start();
            SidecarFixture.await("connects did not complete", () -> rig.logged().contains("discovery failed"));
            long reachable = System.nanoTime();
            for (Socket one : waiting) {
                one.close();
            }
            List<String> requestLines = new CopyOnWriteArrayList<>();
            Thread serving = new Thread(() -> serve(full, requestLines));
            serving.setDaemon(true);
            serving.start();
            SidecarFixture.await(
                    "the list is there", () -> requestLines.stream().anyMatch(line -> line.contains("index=7")));
            assertEquals("after", rig.ask("order", DEADLINE_MS).body());
            double tookMs = (System.nanoTime() - reachable) / 1e6;
            assertTrue(tookMs < IN_FORCE_WITHIN_MS, tookMs + " ms");
        }
    }

    private void serve(ServerSocket listener, List<String> requestLines) {
        while (!listener.isClosed()) {
            try (HttpTestConnection wire = new HttpTestConnection(listener.accept())) {
                requestLines.add(wire.read().line());
                StubEndpoint.respond(wire, 200, "", listWithOtherEndpoint(7));
                requestLines.add(wire.read().line());
                wire.awaitEnd();
            } catch (IOException e) {
                // The client had given up, or the test is over.
                continue;
            }
        }
    }

    /** Guards against long lists that time out while they arrive, and are requested again and again. */
    @Test
    void aFullSnapshotMayArriveInParts() throws Exception {
        setFleetSize(1000);
        try (StubEndpoint next = new StubEndpoint((wire, request) -> {
            if (request.line().contains("index")) {
                wire.awaitEnd();
            } else {
                wire.send("HTTP/1.1 200 OK\r\nContent-Length: "
                        + listWithOtherEndpoint(7).length() + "\r\n\r\n");
                for (String part : listWithOtherEndpoint(7).split("(?<=,)")) {
                    Thread.sleep(PART_INTERVAL_MS);
                    wire.send(part);
                }
            }
        })) {
            rig.start();
            SidecarFixture.await("the watch is open", () -> rig.discovery.requests.size() >= 1);
            long moved = System.nanoTime();
            Files.writeString(
                    rig.configFile, rig.change.apply(rig.config()).replace(rig.discovery.address(), next.address()));
            rig.sidecar.reload();
            SidecarFixture.await("the list is there", () -> next.requests.size() == 2);
            assertEquals("after", rig.ask("order", DEADLINE_MS).body());
            assertTrue((System.nanoTime() - moved) / 1e6 < IN_FORCE_WITHIN_MS);
            assertFalse(rig.logged().contains("discovery failed"), rig.logged());
        }
    }

    // ---- while the event loop is busy, as at a start ----

    /** A load balancer that blocks the event loop at a request until it is released. */
    private static LoadBalancerFactory busyUntil(CountDownLatch busy, CountDownLatch release) {
        return (settings, seed, host) -> {
            LoadBalancer loadBalancer = new BoxcarLoadBalancer(settings, seed, host);
            Class<?>[] interfaces = {LoadBalancer.class};
            return (LoadBalancer) Proxy.newProxyInstance(
                    LoadBalancer.class.getClassLoader(), interfaces, (proxy, method, arguments) -> {
                        if (method.getName().equals("onRequest")) {
                            busy.countDown();
                            release.await();
                        }
                        return method.invoke(loadBalancer, arguments);
                    });
        };
    }

    private static void awaitPassed(long sinceNs, int ms) throws InterruptedException {
        SidecarFixture.await("time", () -> System.nanoTime() - sinceNs > ms * 1_000_000L);
    }

    /** Guards against a time-out of a response that has arrived in time but was not read yet. */
    @Test
    void aResponseIsReadThoughTheLoopWasBusyBeyondItsTimeout() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        rig.discovery.requestHandler = (wire, request) -> {
            if (rig.discovery.requests.size() > 1) {
                rig.discovery.requestHandler = (next, later) -> next.awaitEnd();
                respond.await();
                StubEndpoint.respond(wire, 200, "", listWithOtherEndpoint(7));
            } else {
                StubEndpoint.respond(wire, 200, "", listWithOtherEndpoint(6));
            }
        };
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        rig.start(busyUntil(busy, release));
        SidecarFixture.await("the request waits", () -> rig.discovery.requests.size() == 2);
        try (HttpTestConnection client = rig.client()) {
            client.send(rig.request("read", DEADLINE_MS));
            busy.await();
            respond.countDown();
            awaitPassed(System.nanoTime(), BUSY_MS);
            release.countDown();
            SidecarFixture.await("the list is there", () -> rig.discovery.requests.size() == 3);
            assertEquals(200, client.read().status());
        }
        assertEquals(1, rig.discovery.connections.get());
        assertFalse(rig.logged().contains("discovery failed"), rig.logged());
    }
}
