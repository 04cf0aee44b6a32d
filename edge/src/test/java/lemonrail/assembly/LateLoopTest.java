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
 * The final answer comes within the client's time as the client counts it: also where no endpoint answers,
 * where the event loop is late, and where a request has waited before it was read.
 */
@Timeout(60)
class LateLoopTest {

    private static final int WAIT_MS = 400;
    private static final int REQUESTS = 20;
    /** On a machine that tests share, the client itself is held up now and then. */
    private static final int HELD_UP_SHARE = 10;

    private static final int STALL_MS = 200;
    private static final int SHORTEST_STALL_MS = 50;
    private static final int LONGEST_STALL_MS = 300;
    private static final int STALLED_WAIT_MS = 1500;
    private static final int BETWEEN_STALLS_MS = 400;
    private static final long SEED = 24;

    /** An endpoint that takes requests and never answers. */
    private static StubEndpoint hung() throws IOException {
        return new StubEndpoint((HttpTestConnection wire, HttpTestConnection.Message request) -> wire.awaitEnd());
    }

    /** How long the final answer takes, in milliseconds from when the request is sent. */
    private static double answerMs(SidecarFixture rig, int waitMs) throws IOException {
        try (HttpTestConnection wire = rig.client()) {
            String request = rig.request("read", waitMs);
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

    /** Keeps the loop from its work for so long, from now or from when it is free. */
    private static Future<?> stall(SidecarFixture rig, int ms) {
        return rig.sidecar.loop().submit(() -> pause(ms));
    }

    private static void awaitEnd(Future<?> task) {
        try {
            task.get();
        } catch (InterruptedException | ExecutionException e) {
            throw new IllegalStateException(e);
        }
    }

    /** How many of so many requests sent at once are answered later than their clients wait. */
    private static int lateAnswers(SidecarFixture rig, int waitMs) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(REQUESTS);
        try {
            List<Future<Double>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                answers.add(clients.submit(() -> answerMs(rig, waitMs)));
            }
            int late = 0;
            for (Future<Double> answer : answers) {
                late += answer.get() > waitMs ? 1 : 0;
            }
            return late;
        } finally {
            clients.shutdownNow();
        }
    }

    /** Guards against an attempt that is given up only when its client has gone. */
    @Test
    void aFailureIsHeardWithinTheTimeOfItsClient() throws Exception {
        StubEndpoint first = hung();
        StubEndpoint second = hung();
        try (SidecarFixture rig = new SidecarFixture(first, second).start()) {
            int late = lateAnswers(rig, STALLED_WAIT_MS);
            assertTrue(late <= REQUESTS / HELD_UP_SHARE, late + " of " + REQUESTS + " came late");
            for (HttpTestConnection.Message told : first.requests) {
                long toldMs = Long.parseLong(told.headers().get("x-deadline-ms"));
                assertTrue(toldMs < STALLED_WAIT_MS, "an attempt was to wait " + toldMs + " ms");
            }
        }
    }

    /** Guards against a time that counts from when a request is read, though it came long before. */
    @Test
    void anAttemptIsToldWhatIsLeftAfterTheWaitForTheLoop() throws Exception {
        StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "ok");
        try (SidecarFixture rig = new SidecarFixture(endpoint).start();
                HttpTestConnection wire = rig.client()) {
            wire.send(rig.request("read", WAIT_MS)).read();
            CountDownLatch stalled = new CountDownLatch(1);
            rig.sidecar.loop().execute(stalled::countDown);
            stall(rig, STALL_MS);
            stalled.await();
            wire.send(rig.request("read", WAIT_MS)).read();
            long told = Long.parseLong(endpoint.requests.get(1).headers().get("x-deadline-ms"));
            assertTrue(told <= WAIT_MS - STALL_MS / 2, "told " + told + " ms");
        }
    }

    /** Guards against work for who has gone: what is read after its time is refused and not sent on. */
    @Test
    void whatIsReadAfterItsTimeIsRefusedAtOnce() throws Exception {
        StubEndpoint endpoint = StubEndpoint.respondingWith(200, "", "ok");
        try (SidecarFixture rig = new SidecarFixture(endpoint).start();
                HttpTestConnection wire = rig.client()) {
            wire.send(rig.request("read", WAIT_MS)).read();
            CountDownLatch stalled = new CountDownLatch(1);
            rig.sidecar.loop().execute(stalled::countDown);
            stall(rig, 2 * WAIT_MS);
            stalled.await();
            assertEquals(503, wire.send(rig.request("read", WAIT_MS)).read().status());
            assertEquals(1, endpoint.requests.size(), "only the first request is sent on");
        }
    }

    /** Guards against late answers that operators cannot trace. */
    @Test
    void anAnswerThatIsLateIsCountedAndToldWithWhereItsTimeWent() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubEndpoint endpoint = new StubEndpoint((HttpTestConnection wire, HttpTestConnection.Message request) -> {
            release.await();
            StubEndpoint.respond(wire, 200, "", "late");
        });
        try (SidecarFixture rig = new SidecarFixture(endpoint).start();
                HttpTestConnection wire = rig.client()) {
            wire.send(rig.request("read", WAIT_MS));
            SidecarFixture.await("the endpoint has it", () -> endpoint.requests.size() == 1);
            // The answer and the end of its time both wait for the loop, which is busy until that is past.
            Future<?> stalled = stall(rig, 2 * WAIT_MS);
            release.countDown();
            awaitEnd(stalled);
            wire.read();
            SidecarFixture.await("it is told", () -> rig.logged().contains("an answer came after its client's time"));
            assertTrue(rig.callAdmin("GET", "/v1/metrics").body().contains("edge_gw.answers_late=1"));
        }
    }

    /** The law as a whole: the loop stalls at random instants beside endpoints of which none answers. */
    @Test
    void failuresAreHeardInTimeAlsoWhereTheLoopStalls() throws Exception {
        SplittableRandom random = new SplittableRandom(SEED);
        AtomicBoolean over = new AtomicBoolean();
        try (SidecarFixture rig = new SidecarFixture(
                        hung(), hung(), StubEndpoint.respondingWith(503, "X-Not-Run: 1\r\n", "full"))
                .start()) {
            // The longest stall comes first: how late the loop can be is learned, not known.
            stall(rig, LONGEST_STALL_MS).get();
            Thread stalls = new Thread(() -> {
                while (!over.get()) {
                    awaitEnd(stall(rig, random.nextInt(SHORTEST_STALL_MS, LONGEST_STALL_MS)));
                    pause(random.nextInt(BETWEEN_STALLS_MS));
                }
            });
            stalls.start();
            int late = lateAnswers(rig, STALLED_WAIT_MS);
            over.set(true);
            stalls.join();
            assertTrue(late <= REQUESTS / HELD_UP_SHARE, late + " of " + REQUESTS + " came late");
        }
    }

    /** Guards against a time told as if the connection had come up at once. */
    @Test
    void anAttemptOnALateConnectionTellsWhatIsLeftThen() throws Exception {
        try (LateStubEndpoint late = new LateStubEndpoint();
                SidecarFixture rig = new SidecarFixture()) {
            rig.change = config -> config.replace(
                    "\"servers\":[]", "\"servers\":[" + SidecarFixture.line(0, late.address(), "in_service", 0) + "]");
            rig.start();
            try (HttpTestConnection wire = rig.client()) {
                wire.send(rig.request("read", STALLED_WAIT_MS));
                SidecarFixture.await("an attempt waits for its connection", () -> rig.openRequests() == 1);
                late.release();
                assertEquals(200, wire.read().status());
            }
            long told = Long.parseLong(late.headers.get("x-deadline-ms"));
            assertTrue(told <= STALLED_WAIT_MS / 2, "told " + told + " ms");
        }
    }
}
