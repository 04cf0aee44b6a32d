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

/**
 * The final response arrives before the client's deadline as the client counts it: also when no endpoint responds, when
 * the event loop stalls, and when a request has waited before it was read.
 */
@Timeout(60)
class EventLoopStallTest {

    private static final int CLIENT_TIMEOUT_MS = 400;
    private static final int REQUESTS = 20;
    /** One in so many responses may be late, as the client itself is delayed now and then on a shared machine. */
    private static final int TOLERATED_LATE_FRACTION = 10;

    private static final int STALL_MS = 200;
    private static final int SHORTEST_STALL_MS = 50;
    private static final int LONGEST_STALL_MS = 300;
    private static final int STALLED_CLIENT_TIMEOUT_MS = 1500;
    private static final int LONGEST_STALL_INTERVAL_MS = 400;
    private static final long SEED = 24;

    /** Creates an endpoint that reads requests and never responds. */
    private static StubEndpoint hung() throws IOException {
        return new StubEndpoint((HttpTestConnection wire, HttpTestConnection.Message request) -> wire.awaitEnd());
    }

    /** Returns the time until the final response, in milliseconds from when the request is sent. */
    private static double responseTimeMs(SidecarFixture rig, int clientTimeoutMs) throws IOException {
        try (HttpTestConnection wire = rig.client()) {
            String request = rig.request("read", clientTimeoutMs);
            long sent = System.nanoTime();
            wire.send(request).read();
            return (System.nanoTime() - sent) / 1e6;
        }
    }

    private static void pause(int ms) {
        try {
            new CountDownLatch(1).await(ms, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Blocks the event loop for the given time, from when its tasks so far have run. */
    private static Future<?> scheduleStall(SidecarFixture rig, int ms) {
        return rig.sidecar.loop().submit(() -> pause(ms));
    }

    /** Blocks the event loop for the given time. It is blocked when this returns. */
    private static void startStall(SidecarFixture rig, int ms) throws InterruptedException {
        CountDownLatch started = new CountDownLatch(1);
        rig.sidecar.loop().execute(() -> {
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
    private static int countLateResponses(SidecarFixture rig, int clientTimeoutMs) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(REQUESTS);
        try {
            List<Future<Double>> responseTimes = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                responseTimes.add(clients.submit(() -> responseTimeMs(rig, clientTimeoutMs)));
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
        StubEndpoint first = hung();
        StubEndpoint second = hung();
        try (SidecarFixture rig = new SidecarFixture(first, second).start()) {
            int late = countLateResponses(rig, STALLED_CLIENT_TIMEOUT_MS);
            assertTrue(late <= REQUESTS / TOLERATED_LATE_FRACTION, late + " of " + REQUESTS + " were late");
            for (HttpTestConnection.Message request : first.requests) {
                long sentDeadlineMs = Long.parseLong(request.headers().get("x-deadline-ms"));
                assertTrue(
                        sentDeadlineMs < STALLED_CLIENT_TIMEOUT_MS, "an attempt timeout of " + sentDeadlineMs + " ms");
            }
        }
    }

    /** Guards against a deadline that counts from when a request is read, though it arrived long before. */
    @Test
    void attemptDeadlineExcludesTimeInReceiveQueue() throws Exception {
        StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "ok");
        try (SidecarFixture rig = new SidecarFixture(endpoint).start();
                HttpTestConnection wire = rig.client()) {
            wire.send(rig.request("read", CLIENT_TIMEOUT_MS)).read();
            startStall(rig, STALL_MS);
            wire.send(rig.request("read", CLIENT_TIMEOUT_MS)).read();
            long sentDeadlineMs =
                    Long.parseLong(endpoint.requests.get(1).headers().get("x-deadline-ms"));
            assertTrue(
                    sentDeadlineMs <= CLIENT_TIMEOUT_MS - STALL_MS / 2,
                    "the endpoint was sent " + sentDeadlineMs + " ms");
        }
    }

    /** Guards against work for clients that have timed out: the request is not forwarded. */
    @Test
    void requestReadAfterItsDeadlineIsRejected() throws Exception {
        StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "ok");
        try (SidecarFixture rig = new SidecarFixture(endpoint).start();
                HttpTestConnection wire = rig.client()) {
            wire.send(rig.request("read", CLIENT_TIMEOUT_MS)).read();
            startStall(rig, 2 * CLIENT_TIMEOUT_MS);
            assertEquals(
                    503,
                    wire.send(rig.request("read", CLIENT_TIMEOUT_MS)).read().status());
            assertEquals(1, endpoint.requests.size(), "only the first request is forwarded");
        }
    }

    /** Guards against late responses that operators cannot trace. */
    @Test
    void lateResponseIsCountedAndLogged() throws Exception {
        StubEndpoint endpoint = hung();
        try (SidecarFixture rig = new SidecarFixture(endpoint).start();
                HttpTestConnection client = rig.client()) {
            endpoint.requestHandler = (wire, request) -> {
                // The response and the attempt timeout both wait for the loop, which is blocked before either exists.
                startStall(rig, STALLED_CLIENT_TIMEOUT_MS + CLIENT_TIMEOUT_MS);
                StubEndpoint.respond(wire, 200, "", "late");
            };
            client.send(rig.request("read", STALLED_CLIENT_TIMEOUT_MS)).read();
            SidecarFixture.await(
                    "the late response is logged",
                    () -> rig.logged().contains("a response was given after its client's deadline"));
            assertTrue(rig.callAdmin("GET", "/v1/metrics").body().contains("edge_gw.answers_late=1"));
        }
    }

    /** Stalls the event loop at random instants while no endpoint responds. */
    @Test
    void failuresArriveBeforeClientDeadlineDuringRandomStalls() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        AtomicBoolean over = new AtomicBoolean();
        try (SidecarFixture rig = new SidecarFixture(
                        hung(), hung(), StubEndpoint.respondingWith(503, "X-Not-Run: 1\r\n", "full"))
                .start()) {
            // The longest stall comes first, as the reserve follows the lag that was measured.
            scheduleStall(rig, LONGEST_STALL_MS).get();
            Thread stalls = new Thread(() -> {
                while (!over.get()) {
                    awaitEnd(scheduleStall(rig, random.nextInt(SHORTEST_STALL_MS, LONGEST_STALL_MS)));
                    pause(random.nextInt(LONGEST_STALL_INTERVAL_MS));
                }
            });
            stalls.start();
            int late = countLateResponses(rig, STALLED_CLIENT_TIMEOUT_MS);
            over.set(true);
            stalls.join();
            assertTrue(late <= REQUESTS / TOLERATED_LATE_FRACTION, late + " of " + REQUESTS + " were late");
        }
    }

    /** Guards against a deadline sent as if the connection had been established at once. */
    @Test
    void attemptDeadlineExcludesConnectTime() throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint();
                SidecarFixture rig = new SidecarFixture()) {
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + SidecarFixture.line(0, late.address(), "in_service", 0) + "]");
            rig.start();
            try (HttpTestConnection wire = rig.client()) {
                wire.send(rig.request("read", STALLED_CLIENT_TIMEOUT_MS));
                SidecarFixture.await("an attempt waits for its connection", () -> rig.openRequests() == 1);
                late.release();
                assertEquals(200, wire.read().status());
            }
            long sentDeadlineMs = Long.parseLong(late.headers.get("x-deadline-ms"));
            assertTrue(
                    sentDeadlineMs <= STALLED_CLIENT_TIMEOUT_MS / 2, "the endpoint was sent " + sentDeadlineMs + " ms");
        }
    }
}
