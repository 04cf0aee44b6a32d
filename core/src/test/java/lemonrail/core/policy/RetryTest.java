package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.LoadReport;
import org.junit.jupiter.api.Test;

/** Checks which requests are retried, where, and how long an attempt may take. */
class RetryTest {

    /** A request of which too much is gone is not sent again, though it never ran; it may be rejected. */
    @Test
    void requestThatIsNotReplayableIsNotRetried() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(2));
        String id = f.request(Fixture.NON_IDEMPOTENT);
        RecordingHost.StartedAttempt sent = f.host.last();
        f.balancer.onAttemptFinished(
                f.now,
                new AttemptResult(
                        id,
                        sent.attempt(),
                        sent.endpoint(),
                        AttemptOutcome.CONNECT_ERROR,
                        5,
                        5,
                        false,
                        false,
                        LoadReport.NONE));
        assertEquals(1, f.host.started.size());
        assertEquals(List.of(id), f.host.rejected);
    }

    @Test
    void retriesAreBoundedAndGoToOtherEndpoints() {
        Fixture f = Fixture.of(2, 0, 1).list(Fixture.endpoints(6));
        f.request(Fixture.IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            f.now += 5;
            f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
        }
        assertEquals(3, f.host.started.size());
        assertEquals(
                3,
                new HashSet<>(f.host.started.stream()
                                .map(RecordingHost.StartedAttempt::endpoint)
                                .toList())
                        .size());
        assertEquals(1, f.host.rejected.size());
    }

    @Test
    void retriesOfManyRequestsAreBoundedTogether() {
        Fixture f = Fixture.of(2, 0, 1).list(Fixture.endpoints(30));
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            f.now += 50;
            String id = f.request(Fixture.IDEMPOTENT);
            for (int tries = 0;
                    tries < 9 && f.host.last().request().equals(id) && !f.host.rejected.contains(id);
                    tries++) {
                f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
            }
        }
        assertTrue(f.host.started.size() <= requests * 1.2 + 11, "sent " + f.host.started.size());
    }

    @Test
    void nonIdempotentRequestIsNotRetriedOnceItMayHaveRun() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(4));
        f.request(Fixture.NON_IDEMPOTENT);
        f.finish(f.host.last(), AttemptOutcome.RESET, 5);
        assertEquals(1, f.host.started.size());
        assertEquals(List.of("r0"), f.host.failed);
        assertTrue(f.host.rejected.isEmpty());
    }

    @Test
    void nonIdempotentRequestIsRetriedIfItNeverRan() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(4));
        f.request(Fixture.NON_IDEMPOTENT);
        f.finish(f.host.last(), AttemptOutcome.CONNECT_ERROR, 5);
        assertEquals(2, f.host.started.size());
    }

    @Test
    void keyedRequestIsRetriedOnlyWithinItsDeduplicationScopeAndWindow() {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            list.add(Fixture.endpoint("s" + i, i % 3, 0, EndpointState.READY));
        }
        Fixture f = Fixture.of(2, 0, 0).list(list);
        f.request(Fixture.BY_CELL);
        int first = f.host.last().endpoint().charAt(1) % 3;
        f.finish(f.host.last(), AttemptOutcome.FAILED, 5);
        assertEquals(2, f.host.started.size());
        assertEquals(first, f.host.last().endpoint().charAt(1) % 3);
        f.now += 900;
        f.finish(f.host.last(), AttemptOutcome.FAILED, 900);
        assertEquals(2, f.host.started.size(), "the window is over");
        assertEquals(List.of("r0"), f.host.failed, "a keyed request that may have run is not rejected");
    }

    /** Guards against time spent on responses worth nothing, and the dearer failure after the objective. */
    @Test
    void attemptEndsBeforeTheObjectiveWhereLateResponsesAreWorthNothing() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(1));
        f.request(Fixture.IDEMPOTENT);
        f.now += 200;
        f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 200);
        for (RecordingHost.StartedAttempt sent : f.host.started) {
            assertTrue(sent.timeoutMs() < 1000, "timeout " + sent.timeoutMs());
        }
        f.request(Fixture.NON_IDEMPOTENT);
        assertEquals(3000, f.host.last().timeoutMs(), "late is worth something to this class");
    }
}
