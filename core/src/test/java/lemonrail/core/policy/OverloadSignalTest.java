package lemonrail.core.policy;

import static lemonrail.core.policy.LoadPatterns.countForwardedAfterRounds;
import static lemonrail.core.policy.LoadPatterns.countForwardedAtOnce;
import static lemonrail.core.policy.LoadPatterns.countForwardedInOneSecond;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.LoadReport;
import org.junit.jupiter.api.Test;

/** Checks which results count as overload. */
class OverloadSignalTest {

    /** Guards against a limit that one hung endpoint decreases to a request or two, where it would stay. */
    @Test
    void hungEndpointDoesNotDecreaseTheLimit() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(4));
        int limitBefore = countForwardedAfterRounds(f, 100, 20);
        List<RecordingHost.StartedAttempt> hungAttempts = new ArrayList<>();
        int startedBefore = f.host.started.size();
        for (int i = 0; i < limitBefore; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> attempts =
                List.copyOf(f.host.started.subList(startedBefore, f.host.started.size()));
        f.nowMs += 100;
        for (RecordingHost.StartedAttempt attempt : attempts) {
            if (attempt.endpoint().equals(attempts.get(0).endpoint())) {
                hungAttempts.add(attempt);
            } else {
                f.finishAttempt(attempt, AttemptOutcome.OK, 100);
            }
        }
        assertTrue(hungAttempts.size() >= 3, hungAttempts.size() + " requests are hung, at least 3 expected");
        for (RecordingHost.StartedAttempt attempt : hungAttempts) {
            f.nowMs += 990;
            f.balancer.onAttemptFinished(
                    f.nowMs,
                    new AttemptResult(
                            attempt.request(),
                            attempt.attempt(),
                            attempt.endpoint(),
                            AttemptOutcome.TIMED_OUT,
                            990,
                            true,
                            LoadReport.NONE));
        }
        int limitAfter = countForwardedAfterRounds(f, 100, 1);
        assertTrue(
                limitAfter > limitBefore * 0.8,
                limitBefore + " requests in flight before the hang and " + limitAfter + " after");
    }

    /**
     * Guards against small limits that stay at the edge of overload, because their few responses show it too late
     * (i495c4c, ibf84fc).
     */
    @Test
    void smallLimitHasALowerThreshold() {
        Fixture smallLimit = Fixture.of(100, 0, 0).setEndpoints(Fixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            countForwardedInOneSecond(smallLimit, 100);
        }
        int forwarded = 0;
        for (int i = 0; i < 8; i++) {
            forwarded = countForwardedInOneSecond(smallLimit, 260);
        }
        assertTrue(forwarded < 10, forwarded + " of 10 requests forwarded at a limit of one request in flight");
        Fixture largeLimit = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(20));
        countForwardedAfterRounds(largeLimit, 100, 20);
        int limitBefore = countForwardedAfterRounds(largeLimit, 100, 1);
        assertTrue(
                countForwardedAfterRounds(largeLimit, 260, 8) >= limitBefore,
                "the same responses do not decrease a larger limit");
    }

    /** Guards against a limit that uninformative results decrease repeatedly after a period of slow responses. */
    @Test
    void resultsWithoutInformationOnLoadKeepTheLimit() {
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.CANCELED, AttemptOutcome.CONNECT_ERROR, AttemptOutcome.RESET, AttemptOutcome.FAILED)) {
            Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(20));
            countForwardedAfterRounds(f, 100, 20);
            countForwardedAfterRounds(f, 900, 2);
            int limitBefore = countForwardedAtOnce(f);
            for (int i = 0; i < 20; i++) {
                f.nowMs += 300;
                f.sendRequest(Fixture.NON_IDEMPOTENT);
                RecordingHost.StartedAttempt attempt = f.host.lastAttempt();
                f.balancer.onRequestCancelled(f.nowMs, attempt.request());
                f.finishAttempt(attempt, outcome, 200);
            }
            assertTrue(countForwardedAtOnce(f) >= limitBefore, "limit after results " + outcome);
        }
    }

    /**
     * Guards against taking requests of different work for overload where latency objectives are short: the limit fell
     * to one and stayed there, and the first-tier balancers of a lightly loaded fleet rejected most requests.
     */
    @Test
    void differencesInWorkDoNotDecreaseTheLimit() {
        Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(20));
        int limitBefore = countForwardedAfterRounds(f, 100, 700, 20);
        int limitAfter = countForwardedAfterRounds(f, 100, 700, 60);
        assertTrue(
                limitAfter >= Math.max(limitBefore, 8),
                limitBefore + " requests in flight at first, then " + limitAfter);
        assertTrue(countForwardedAfterRounds(f, 950, 60) < 8, "overload is still detected");
        assertTrue(countForwardedAfterRounds(f, 100, 700, 60) >= 8, "the limit recovers after the overload");
    }

    /** Guards against taking slow connects for overload: the connect time is not work of the endpoint. */
    @Test
    void slowConnectsDoNotDecreaseTheLimit() {
        Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(20));
        int limitBefore = countForwardedAfterRounds(f, 100, 60);
        for (int round = 0; round < 60; round++) {
            int startedBefore = f.host.started.size();
            for (int i = 0; i < 60; i++) {
                f.sendRequest(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> attempts =
                    List.copyOf(f.host.started.subList(startedBefore, f.host.started.size()));
            f.nowMs += 900;
            for (RecordingHost.StartedAttempt attempt : attempts) {
                f.balancer.onAttemptFinished(
                        f.nowMs,
                        new AttemptResult(
                                attempt.request(),
                                attempt.attempt(),
                                attempt.endpoint(),
                                AttemptOutcome.OK,
                                900,
                                800,
                                true,
                                true,
                                LoadReport.NONE));
            }
        }
        assertTrue(
                countForwardedAtOnce(f) >= limitBefore,
                limitBefore + " requests in flight before, " + countForwardedAtOnce(f) + " after");
    }

    /**
     * Guards against one response that is slow by chance and decreases the limit again with each fast response after
     * it.
     */
    @Test
    void oneSlowResponseDecreasesASmallLimitOnce() {
        Fixture f = Fixture.of(3, 0, 0).setEndpoints(Fixture.endpoints(4));
        sendSequentially(f, 40, 100);
        sendSequentially(f, 30, 220);
        int limitBefore = countForwardedAtOnce(f);
        sendSequentially(f, 1, 1900);
        sendSequentially(f, 12, 220);
        int limitAfter = countForwardedAtOnce(f);
        assertEquals(6, limitBefore, "four requests per endpoint, divided by three balancers");
        assertEquals(5, limitAfter, "one decrease of the limit");
    }

    private static void sendSequentially(Fixture f, int requests, double responseTimeMs) {
        for (int i = 0; i < requests; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            f.nowMs += responseTimeMs;
            f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, responseTimeMs);
        }
    }

    /** Guards against requests that leave overloaded endpoints and overload one endpoint after another (i495c4c). */
    @Test
    void requestsThatLeaveFullEndpointsDoNotOverloadAllOthers() {
        Fixture f = Fixture.of(100, 0, 0).setEndpoints(Fixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            countForwardedInOneSecond(f, 100);
        }
        for (int i = 0; i < 2; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            for (int attempt = 0; attempt < 3; attempt++) {
                f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.QUEUE_FULL, 1);
            }
        }
        int startedBefore = f.host.started.size();
        f.sendRequest(Fixture.IDEMPOTENT);
        assertEquals(startedBefore, f.host.started.size(), "after six full endpoints a seventh is not tried");
        f.nowMs += 60_000;
        countForwardedInOneSecond(f, 100);
        assertTrue(
                f.host.started.size() > startedBefore,
                "requests are forwarded again when the endpoints are no longer full");
    }
}
