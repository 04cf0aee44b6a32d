package lemonrail.assembly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The final response arrives before the deadline, measured at the client, also if no endpoint responds, if the event
 * loop stalls, and if a request has waited before it was read.
 */
@Timeout(60)
class EventLoopStallTest {

    private static final int CLIENT_TIMEOUT_MS = 400;
    private static final int REQUESTS = 20;
    /**
     * One in this number of responses may be late, because the client itself is sometimes delayed on a shared machine.
     */
    private static final int LATE_RESPONSE_DIVISOR = 10;

    private static final int STALL_MS = 200;
    private static final int MIN_STALL_MS = 50;
    private static final int MAX_STALL_MS = 300;
    private static final int STALLED_CLIENT_TIMEOUT_MS = 1500;
    private static final int MAX_STALL_INTERVAL_MS = 400;
    private static final long SEED = 24;

    /** Creates an endpoint that reads requests and never responds. */
    private static StubEndpoint unresponsive() throws IOException {
        return new StubEndpoint(
                (HttpTestConnection connection, HttpTestConnection.Message request) -> connection.awaitEnd());
    }

    /** Returns the time until the final response, in milliseconds from when the request is sent. */
    private static double responseTimeMs(SidecarFixture fixture, int clientTimeoutMs) throws IOException {
        try (HttpTestConnection connection = fixture.client()) {
            String request = fixture.request("read", clientTimeoutMs);
            long startNs = System.nanoTime();
            connection.send(request).read();
            return (System.nanoTime() - startNs) / 1e6;
        }
    }

    private static void pause(int ms) {
        try {
            new CountDownLatch(1).await(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks the event loop for the given time, once it has run the tasks queued so far. */
    private static Future<?> scheduleStall(SidecarFixture fixture, int ms) {
        return fixture.sidecar.loop().submit(() -> pause(ms));
    }

    /** Blocks the event loop for the given time. It is blocked when this returns. */
    private static void startStall(SidecarFixture fixture, int ms) throws InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        fixture.sidecar.loop().execute(() -> {
            started.countDown();
            pause(ms);
        });
        started.await();
    }

    private static void awaitEnd(Future<?> task) {
        try {
            task.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends concurrent requests and returns how many get their response after the client timeout. */
    private static int countLateResponses(SidecarFixture fixture, int clientTimeoutMs) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(REQUESTS);
        try {
            List<Future<Double>> responseTimes = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                responseTimes.add(clients.submit(() -> responseTimeMs(fixture, clientTimeoutMs)));
            }
            int late = 0;
            for (Future<Double> responseTime : responseTimes) {
                late += responseTime.get() > clientTimeoutMs ? 1 : 0;
            }
            return late;
        } finally {
            clients.shutdownNow();
        }
    }

    /** Guards against an attempt that times out only at its client's deadline. */
    @Test
    void failureArrivesBeforeClientDeadline() throws Exception {
        StubEndpoint first = unresponsive();
        StubEndpoint second = unresponsive();
        try (SidecarFixture fixture = new SidecarFixture(first, second).start()) {
            int late = countLateResponses(fixture, STALLED_CLIENT_TIMEOUT_MS);
            assertTrue(late <= REQUESTS / LATE_RESPONSE_DIVISOR, late + " of " + REQUESTS + " were late");
            for (HttpTestConnection.Message request : first.requests) {
                long forwardedDeadlineMs = Long.parseLong(request.headers().get("x-deadline-ms"));
                assertTrue(
                        forwardedDeadlineMs < STALLED_CLIENT_TIMEOUT_MS,
                        "an attempt timeout of " + forwardedDeadlineMs + " ms");
            }
        }
    }

    /** Guards against a deadline that starts when a request is read, although the request arrived long before. */
    @Test
    void attemptDeadlineExcludesTimeInReceiveQueue() throws Exception {
        StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "ok");
        try (SidecarFixture fixture = new SidecarFixture(endpoint).start();
                HttpTestConnection connection = fixture.client()) {
            connection.send(fixture.request("read", CLIENT_TIMEOUT_MS)).read();
            startStall(fixture, STALL_MS);
            connection.send(fixture.request("read", CLIENT_TIMEOUT_MS)).read();
            long forwardedDeadlineMs =
                    Long.parseLong(endpoint.requests.get(1).headers().get("x-deadline-ms"));
            assertTrue(
                    forwardedDeadlineMs <= CLIENT_TIMEOUT_MS - STALL_MS / 2,
                    "the endpoint was sent " + forwardedDeadlineMs + " ms");
        }
    }

    /** Guards against work for clients that have timed out: the request is not forwarded. */
    @Test
    void requestReadAfterItsDeadlineIsRejected() throws Exception {
        StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "ok");
        try (SidecarFixture fixture = new SidecarFixture(endpoint).start();
                HttpTestConnection connection = fixture.client()) {
            connection.send(fixture.request("read", CLIENT_TIMEOUT_MS)).read();
            startStall(fixture, 2 * CLIENT_TIMEOUT_MS);
            assertEquals(
                    503,
                    connection
                            .send(fixture.request("read", CLIENT_TIMEOUT_MS))
                            .read()
                            .status());
            assertEquals(1, endpoint.requests.size(), "only the first request is forwarded");
        }
    }

    /** Guards against late responses that operators cannot trace. */
    @Test
    void lateResponseIsCountedAndLogged() throws Exception {
        StubEndpoint endpoint = unresponsive();
        try (SidecarFixture fixture = new SidecarFixture(endpoint).start();
                HttpTestConnection client = fixture.client()) {
            endpoint.requestHandler = (connection, request) -> {
                // The response and the attempt timeout both wait for the loop, which is blocked before either exists.
                startStall(fixture, STALLED_CLIENT_TIMEOUT_MS + CLIENT_TIMEOUT_MS);
                StubEndpoint.respond(connection, 200, "", "late");
            };
            client.send(fixture.request("read", STALLED_CLIENT_TIMEOUT_MS)).read();
            SidecarFixture.await(
                    "the late response is logged",
                    () -> fixture.logged().contains("a response was given after its client's deadline"));
            assertTrue(fixture.callAdmin("GET", "/v1/metrics").body().contains("edge_gw.answers_late=1"));
        }
    }

    /** Stalls the event loop at random instants while no endpoint responds. */
    @Test
    void failuresArriveBeforeClientDeadlineDuringRandomStalls() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        AtomicBoolean stopped = new AtomicBoolean();
        try (SidecarFixture fixture = new SidecarFixture(
                        unresponsive(), unresponsive(), StubEndpoint.respondingWith(503, "X-Not-Run: 1\r\n", "full"))
                .start()) {
            // The longest stall comes first because the time reserved before deadlines depends on the lag measured so
            // far.
            scheduleStall(fixture, MAX_STALL_MS).get();
            Thread stalls = new Thread(() -> {
                while (!stopped.get()) {
                    awaitEnd(scheduleStall(fixture, random.nextInt(MIN_STALL_MS, MAX_STALL_MS)));
                    pause(random.nextInt(MAX_STALL_INTERVAL_MS));
                }
            });
            stalls.start();
            int late = countLateResponses(fixture, STALLED_CLIENT_TIMEOUT_MS);
            stopped.set(true);
            stalls.join();
            assertTrue(late <= REQUESTS / LATE_RESPONSE_DIVISOR, late + " of " + REQUESTS + " were late");
        }
    }

    /** Guards against a deadline sent to an endpoint that includes the time spent on connecting. */
    @ParameterizedTest
    @ValueSource(ints = {0, 200_000})
    void attemptDeadlineExcludesConnectTime(int bodyBytes) throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint();
                SidecarFixture fixture = new SidecarFixture()) {
            fixture.configChange = config -> config.replace(
                    "\"servers\":[]",
                    "\"servers\":[" + SidecarFixture.endpointJson(0, late.address(), "in_service", 0) + "]");
            fixture.start();
            try (HttpTestConnection connection = fixture.client()) {
                connection.send(fixture.uploadHead(STALLED_CLIENT_TIMEOUT_MS, bodyBytes) + "x".repeat(bodyBytes));
                SidecarFixture.await("an attempt waits for its connection", () -> fixture.openRequests() == 1);
                late.release();
                assertEquals(200, connection.read().status());
            }
            long forwardedDeadlineMs = Long.parseLong(late.headers.get("x-deadline-ms"));
            assertTrue(
                    forwardedDeadlineMs <= STALLED_CLIENT_TIMEOUT_MS / 2,
                    "the endpoint was sent " + forwardedDeadlineMs + " ms");
        }
    }
}
