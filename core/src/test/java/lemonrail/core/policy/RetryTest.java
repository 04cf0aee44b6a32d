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

/** Checks which requests are retried, on which endpoints, and how long an attempt may take. */
class RetryTest {

    /** A request that the host no longer has in full is not retried although it never ran. It may be rejected. */
    @Test
    void requestThatIsNotReplayableIsNotRetried() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(2));
        String id = f.sendRequest(Fixture.NON_IDEMPOTENT);
        RecordingHost.StartedAttempt attempt = f.host.lastAttempt();
        f.balancer.onAttemptFinished(
                f.nowMs,
                new AttemptResult(
                        id,
                        attempt.attempt(),
                        attempt.endpoint(),
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
    void retriesPerRequestAreBoundedAndUseOtherEndpoints() {
        Fixture f = Fixture.of(2, 0, 1).setEndpoints(Fixture.endpoints(6));
        f.sendRequest(Fixture.IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            f.nowMs += 5;
            f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.FAILED, 5);
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
    void retriesOfAllRequestsTogetherAreBounded() {
        Fixture f = Fixture.of(2, 0, 1).setEndpoints(Fixture.endpoints(30));
        int requests = 200;
        for (int i = 0; i < requests; i++) {
            f.nowMs += 50;
            String id = f.sendRequest(Fixture.IDEMPOTENT);
            for (int attempts = 0;
                    attempts < 9 && f.host.lastAttempt().request().equals(id) && !f.host.rejected.contains(id);
                    attempts++) {
                f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.FAILED, 5);
            }
        }
        assertTrue(f.host.started.size() <= requests * 1.2 + 11, "started attempts: " + f.host.started.size());
    }

    @Test
    void nonIdempotentRequestIsNotRetriedOnceItMayHaveRun() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(4));
        f.sendRequest(Fixture.NON_IDEMPOTENT);
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.RESET, 5);
        assertEquals(1, f.host.started.size());
        assertEquals(List.of("r0"), f.host.failed);
        assertTrue(f.host.rejected.isEmpty());
    }

    @Test
    void nonIdempotentRequestIsRetriedIfItDidNotRun() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(4));
        f.sendRequest(Fixture.NON_IDEMPOTENT);
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.CONNECT_ERROR, 5);
        assertEquals(2, f.host.started.size());
    }

    @Test
    void keyedRequestIsRetriedOnlyWithinItsDeduplicationScopeAndWindow() {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            list.add(Fixture.endpoint("s" + i, i % 3, 0, EndpointState.READY));
        }
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(list);
        f.sendRequest(Fixture.KEYED_BY_CELL);
        int firstCell = f.host.lastAttempt().endpoint().charAt(1) % 3;
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.FAILED, 5);
        assertEquals(2, f.host.started.size());
        assertEquals(firstCell, f.host.lastAttempt().endpoint().charAt(1) % 3);
        f.nowMs += 900;
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.FAILED, 900);
        assertEquals(2, f.host.started.size(), "no retry after the deduplication window");
        assertEquals(List.of("r0"), f.host.failed, "a keyed request that may have run is not rejected");
    }

    /**
     * Guards against waiting for responses without value, and against a failure after the objective, which costs more.
     */
    @Test
    void attemptEndsBeforeObjectiveIfLateResponsesHaveNoValue() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(1));
        f.sendRequest(Fixture.IDEMPOTENT);
        f.nowMs += 200;
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.QUEUE_FULL, 200);
        for (RecordingHost.StartedAttempt attempt : f.host.started) {
            assertTrue(attempt.timeoutMs() < 1000, "timeout " + attempt.timeoutMs());
        }
        f.sendRequest(Fixture.NON_IDEMPOTENT);
        assertEquals(3000, f.host.lastAttempt().timeoutMs(), "late responses of this class have a value");
    }
}
