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

/** A watch that has failed in any way resumes soon, and requests the changes that it missed. */
@Timeout(60)
class WatchTest {

    private static final int DEADLINE_MS = 8000;
    /** A change that a failed watch missed must be in force within this time. */
    private static final double MAX_PROPAGATION_MS = 6000;
    /** The number of consecutive requests that fail. */
    private static final int FAILED_REQUESTS = 30;
    /** The shortest backoff between two failed requests. */
    private static final double MIN_BACKOFF_MS = 50;
    /** Longer than the response time-out of discovery requests with a wait of 1 s. */
    private static final int LOOP_BLOCKED_MS = 1800;
    /** The time between two parts of a response, shorter than the time-out that applies to each part. */
    private static final int PART_INTERVAL_MS = 100;
    /** A connect that takes longer shows that the accept queue is full. */
    private static final int CONNECT_TIMEOUT_MS = 300;
    /** Consecutive failures after which an unbounded backoff would exceed {@link #MAX_PROPAGATION_MS}. */
    private static final int FAILURES_BEFORE_RETURN = 7;

    private final StubEndpoint before = StubEndpoint.respondingWith(200, "", "before");
    private final StubEndpoint after = StubEndpoint.respondingWith(200, "", "after");
    private final SidecarFixture fixture = new SidecarFixture(before);

    WatchTest() throws IOException {
        // The load balancer itself does not poll again within a test, unless the test sets a shorter interval.
        fixture.pollIntervalMs = 600_000;
        fixture.discoveryWaitMs = 1000;
    }

    @AfterEach
    void stop() throws IOException {
        fixture.close();
        after.close();
    }

    private String listWithOtherEndpoint(int version) {
        return SidecarFixture.endpointListJson(
                        version, true, SidecarFixture.endpointJson(1, after.address(), "in_service", 0))
                .replace(",", ",\n    ")
                .replace("{", "{\n  ");
    }

    private static void fail(HttpTestConnection connection, String failure, String list) throws IOException {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n";
        switch (failure) {
            case "reset" -> connection.reset();
            case "close" -> connection.close();
            case "headers" -> connection.send(head).awaitEnd();
            case "half" ->
                connection.send(head + list.substring(0, list.length() / 2)).awaitEnd();
            case "cut" ->
                connection.send(head + list.substring(0, list.length() / 2)).close();
            case "garbage" -> connection.send("what?\r\n\r\n").awaitEnd();
            case "unparsed" -> StubEndpoint.respond(connection, 200, "", list.replace("in_service", "who knows"));
            case "error" -> StubEndpoint.respond(connection, 503, "", "");
            default -> connection.awaitEnd();
        }
    }

    /** Guards against a failed watch that is not resumed, also if the load balancer polls on its own schedule. */
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
    void failedWatchResumes(String failure, String mode) throws Exception {
        fixture.configChange = config -> config.replace("on_request", mode);
        fixture.discovery.requestHandler = (connection, request) -> {
            if (fixture.discovery.requests.size() == 1) {
                fail(connection, failure, listWithOtherEndpoint(7));
            } else if (fixture.discovery.requests.size() == 2) {
                StubEndpoint.respond(connection, 200, "", listWithOtherEndpoint(7));
            } else {
                connection.awaitEnd();
            }
        };
        fixture.start();
        SidecarFixture.await("the watch is open", () -> fixture.discovery.requests.size() >= 1);
        long failedNs = System.nanoTime();
        SidecarFixture.await("the endpoint list is applied", () -> fixture.discovery.requests.size() >= 3);
        assertTrue((System.nanoTime() - failedNs) / 1e6 < MAX_PROPAGATION_MS);
        // After a failed request, the next one waits for 100 ms only.
        assertEquals(
                "GET /registry/instances?index=1&wait=100 HTTP/1.1",
                fixture.discovery.requests.get(1).startLine(),
                "the watch resumes from the known version");
        assertEquals(
                "GET /registry/instances?index=7&wait=1000 HTTP/1.1",
                fixture.discovery.requests.get(2).startLine());
        assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
    }

    /** Guards against watches that multiply: the load balancer polls by its own timer, and each request fails. */
    @ParameterizedTest
    @ValueSource(strings = {"on_request", "pushed"})
    void failingDiscoveryIsPolledByOneWatchOnly(String mode) throws Exception {
        fixture.pollIntervalMs = 20;
        fixture.drainGraceMs = 0;
        fixture.configChange = config -> config.replace("on_request", mode);
        fixture.discovery.requestHandler = (connection, request) -> connection.reset();
        fixture.start();
        SidecarFixture.await("the watch is open", () -> fixture.discovery.requests.size() >= 1);
        long startNs = System.nanoTime();
        SidecarFixture.await(
                "discovery has been polled repeatedly", () -> fixture.discovery.requests.size() >= FAILED_REQUESTS);
        assertTrue(
                (System.nanoTime() - startNs) / 1e6 >= (FAILED_REQUESTS - 3) * MIN_BACKOFF_MS,
                "each poll comes after a backoff");
    }

    /** Guards against a former discovery address that still responds, and a backoff that still runs for it. */
    @Test
    void formerDiscoveryAddressIsIgnored() throws Exception {
        CountDownLatch moved = new CountDownLatch(1);
        fixture.discovery.requestHandler = (connection, request) -> {
            if (fixture.discovery.requests.size() == 1) {
                // The backoff after this failure has not ended when discovery moves.
                connection.reset();
            } else {
                moved.await();
                StubEndpoint.respond(
                        connection,
                        200,
                        "",
                        SidecarFixture.endpointListJson(
                                99, true, SidecarFixture.endpointJson(0, before.address(), "in_service", 0)));
            }
        };
        fixture.start();
        SidecarFixture.await("the watch has failed", () -> fixture.logged().contains("discovery failed"));
        try (StubEndpoint next = new StubEndpoint((connection, request) -> {
            if (request.startLine().contains("index")) {
                connection.awaitEnd();
            } else {
                StubEndpoint.respond(connection, 200, "", listWithOtherEndpoint(3));
            }
        })) {
            Files.writeString(
                    fixture.configFile, fixture.config().replace(fixture.discovery.address(), next.address()));
            fixture.sidecar.reload();
            SidecarFixture.await("the endpoint list is applied", () -> next.requests.size() == 2);
            moved.countDown();
            for (int i = 0; i < 3; i++) {
                assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
            }
            assertEquals(1, next.connections.get(), "one watch is open");
            assertEquals(2, next.requests.size());
        }
    }

    // ---- in a fleet whose size determines the wait ----

    /** Configures the size of the fleet, which determines the wait. */
    private void setFleetSize(int instances) {
        fixture.discoveryWaitMs = 0;
        fixture.drainGraceMs = 1000;
        String count = "\"replicas-of-me\":";
        fixture.configChange = config -> config.replace(count + "1,", count + instances + ",");
    }

    /** Checks that a change is in force in time, counted from when discovery has the change. */
    private void assertInForceInTime(long availableNs) throws Exception {
        SidecarFixture.await(
                "the endpoint list is applied",
                () -> fixture.discovery.requests.stream()
                        .anyMatch(request -> request.startLine().contains("index=7")));
        assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
        double tookMs = (System.nanoTime() - availableNs) / 1e6;
        assertTrue(tookMs < MAX_PROPAGATION_MS, tookMs + " ms");
    }

    /** The change is made right after the failing request, so that its complete wait is lost. */
    @ParameterizedTest
    @CsvSource({"silent,1", "silent,2", "headers,1", "headers,2", "half,1", "parts,1", "reset,3", "error,3", "garbage,3"
    })
    void changeMissedByFailedWatchesIsAppliedInTimeInALargeFleet(String failure, int failures) throws Exception {
        setFleetSize(1000);
        fixture.discovery.requestHandler = (connection, request) -> {
            int call = fixture.discovery.requests.size();
            if (call > failures) {
                fixture.discovery.requestHandler = (next, later) -> next.awaitEnd();
                StubEndpoint.respond(connection, 200, "", listWithOtherEndpoint(7));
            } else if (failure.equals("parts")) {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: "
                        + listWithOtherEndpoint(7).length() + "\r\n\r\n");
                for (char part : listWithOtherEndpoint(7).toCharArray()) {
                    connection.send(String.valueOf(part));
                    Thread.sleep(PART_INTERVAL_MS);
                }
            } else {
                fail(connection, failure, listWithOtherEndpoint(7));
            }
        };
        fixture.start();
        SidecarFixture.await("the watch is open", () -> fixture.discovery.requests.size() >= 1);
        assertInForceInTime(System.nanoTime());
    }

    /** Guards against a backoff that has grown long by the time discovery can be reached. */
    @ParameterizedTest
    @ValueSource(strings = {"reset", "silent"})
    void changeIsAppliedInTimeOnceDiscoveryIsReachableAgain(String failure) throws Exception {
        setFleetSize(1000);
        // Permits a mean backoff of up to 10 s, if nothing else bounds it.
        fixture.drainGraceMs = 30_000;
        CountDownLatch reachable = new CountDownLatch(1);
        fixture.discovery.requestHandler = (connection, request) -> {
            if (reachable.getCount() == 0) {
                fixture.discovery.requestHandler = (next, later) -> next.awaitEnd();
                StubEndpoint.respond(connection, 200, "", listWithOtherEndpoint(7));
            } else {
                fail(connection, failure, listWithOtherEndpoint(7));
            }
        };
        fixture.start();
        SidecarFixture.await(
                "the backoff has grown", () -> fixture.discovery.requests.size() >= FAILURES_BEFORE_RETURN);
        reachable.countDown();
        assertInForceInTime(System.nanoTime());
    }

    /** Guards against connects that never complete: a full accept queue drops them silently. */
    @Test
    void changeIsAppliedInTimeAfterConnectsThatNeverComplete() throws Exception {
        setFleetSize(1000);
        List<Socket> fillers = new ArrayList<>();
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            assertThrows(SocketTimeoutException.class, () -> {
                while (true) {
                    Socket filler = new Socket();
                    fillers.add(filler);
                    filler.connect(full.getLocalSocketAddress(), CONNECT_TIMEOUT_MS);
                }
            });
            UnaryOperator<String> large = fixture.configChange;
            fixture.configChange = config ->
                    large.apply(config).replace(fixture.discovery.address(), "127.0.0.1:" + full.getLocalPort());
            fixture.start();
            SidecarFixture.await(
                    "a connect has timed out", () -> fixture.logged().contains("discovery failed"));
            long reachableNs = System.nanoTime();
            for (Socket filler : fillers) {
                filler.close();
            }
            List<String> requestLines = new CopyOnWriteArrayList<>();
            Thread serving = new Thread(() -> serve(full, requestLines));
            serving.setDaemon(true);
            serving.start();
            SidecarFixture.await(
                    "the endpoint list is applied",
                    () -> requestLines.stream().anyMatch(line -> line.contains("index=7")));
            assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
            double tookMs = (System.nanoTime() - reachableNs) / 1e6;
            assertTrue(tookMs < MAX_PROPAGATION_MS, tookMs + " ms");
        }
    }

    private void serve(ServerSocket listener, List<String> requestLines) {
        while (!listener.isClosed()) {
            try (HttpTestConnection connection = new HttpTestConnection(listener.accept())) {
                requestLines.add(connection.read().startLine());
                StubEndpoint.respond(connection, 200, "", listWithOtherEndpoint(7));
                requestLines.add(connection.read().startLine());
                connection.awaitEnd();
            } catch (IOException e) {
                // The client has closed the connection, or the test has ended.
                continue;
            }
        }
    }

    /** Guards against long lists that time out while they are received, and are requested repeatedly. */
    @Test
    void fullSnapshotInPartsIsApplied() throws Exception {
        setFleetSize(1000);
        try (StubEndpoint next = new StubEndpoint((connection, request) -> {
            if (request.startLine().contains("index")) {
                connection.awaitEnd();
            } else {
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: "
                        + listWithOtherEndpoint(7).length() + "\r\n\r\n");
                for (String part : listWithOtherEndpoint(7).split("(?<=,)")) {
                    Thread.sleep(PART_INTERVAL_MS);
                    connection.send(part);
                }
            }
        })) {
            fixture.start();
            SidecarFixture.await("the watch is open", () -> fixture.discovery.requests.size() >= 1);
            long movedNs = System.nanoTime();
            Files.writeString(
                    fixture.configFile,
                    fixture.configChange.apply(fixture.config()).replace(fixture.discovery.address(), next.address()));
            fixture.sidecar.reload();
            SidecarFixture.await("the endpoint list is applied", () -> next.requests.size() == 2);
            assertEquals("after", fixture.sendRequest("order", DEADLINE_MS).body());
            assertTrue((System.nanoTime() - movedNs) / 1e6 < MAX_PROPAGATION_MS);
            assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
        }
    }

    // ---- while the event loop is blocked, as during a start ----

    /** Creates load balancers that block the event loop at a request until they are released. */
    private static LoadBalancerFactory blockedUntil(CountDownLatch busy, CountDownLatch release) {
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
        SidecarFixture.await("the given time has passed", () -> System.nanoTime() - sinceNs > ms * 1_000_000L);
    }

    /** Guards against a time-out of a response that has arrived in time but has not been read yet. */
    @Test
    void responseIsReadAfterTheLoopWasBlockedBeyondItsTimeout() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        fixture.discovery.requestHandler = (connection, request) -> {
            if (fixture.discovery.requests.size() > 1) {
                fixture.discovery.requestHandler = (next, later) -> next.awaitEnd();
                respond.await();
                StubEndpoint.respond(connection, 200, "", listWithOtherEndpoint(7));
            } else {
                StubEndpoint.respond(connection, 200, "", listWithOtherEndpoint(6));
            }
        };
        CountDownLatch busy = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        fixture.start(blockedUntil(busy, release));
        SidecarFixture.await("the second discovery request waits", () -> fixture.discovery.requests.size() == 2);
        try (HttpTestConnection client = fixture.client()) {
            client.send(fixture.request("read", DEADLINE_MS));
            busy.await();
            respond.countDown();
            awaitPassed(System.nanoTime(), LOOP_BLOCKED_MS);
            release.countDown();
            SidecarFixture.await("the endpoint list is applied", () -> fixture.discovery.requests.size() == 3);
            assertEquals(200, client.read().status());
        }
        assertEquals(1, fixture.discovery.connections.get());
        assertFalse(fixture.logged().contains("discovery failed"), fixture.logged());
    }
}
