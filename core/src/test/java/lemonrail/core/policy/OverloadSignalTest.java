package lemonrail.core.policy;

import static lemonrail.core.policy.LoadPatterns.forwardedAfterRounds;
import static lemonrail.core.policy.LoadPatterns.forwardedAtOnce;
import static lemonrail.core.policy.LoadPatterns.forwardedInASecond;
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

    /** Guards against a limit that one hung endpoint takes down to a request or two, where it would stay. */
    @Test
    void hungEndpointIsNotTakenForOverload() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(4));
        int before = forwardedAfterRounds(f, 100, 20);
        List<RecordingHost.StartedAttempt> hung = new ArrayList<>();
        int from = f.host.started.size();
        for (int i = 0; i < before; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> sent = List.copyOf(f.host.started.subList(from, f.host.started.size()));
        f.now += 100;
        for (RecordingHost.StartedAttempt each : sent) {
            if (each.endpoint().equals(sent.get(0).endpoint())) {
                hung.add(each);
            } else {
                f.finish(each, AttemptOutcome.OK, 100);
            }
        }
        assertTrue(hung.size() >= 3, hung.size() + " requests hang");
        for (RecordingHost.StartedAttempt each : hung) {
            f.now += 990;
            f.balancer.onAttemptFinished(
                    f.now,
                    new AttemptResult(
                            each.request(),
                            each.attempt(),
                            each.endpoint(),
                            AttemptOutcome.TIMED_OUT,
                            990,
                            true,
                            LoadReport.NONE));
        }
        int after = forwardedAfterRounds(f, 100, 1);
        assertTrue(after > before * 0.8, before + " requests in flight before the hang and " + after + " after");
    }

    /** Guards against small limits that stay at the edge: few responses tell too late (i495c4c, ibf84fc). */
    @Test
    void smallLimitHasALowerThreshold() {
        Fixture small = Fixture.of(100, 0, 0).list(Fixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            forwardedInASecond(small, 100);
        }
        int taken = 0;
        for (int i = 0; i < 8; i++) {
            taken = forwardedInASecond(small, 260);
        }
        assertTrue(taken < 10, taken + " of 10 taken at one request in flight");
        Fixture large = Fixture.of(10, 0, 0).list(Fixture.endpoints(20));
        forwardedAfterRounds(large, 100, 20);
        int before = forwardedAfterRounds(large, 100, 1);
        assertTrue(forwardedAfterRounds(large, 260, 8) >= before, "the same responses leave a larger limit alone");
    }

    /** Guards against a limit that uninformative results decrease again and again after a slow moment. */
    @Test
    void resultsThatSayNothingAboutLoadLeaveTheLimit() {
        for (AttemptOutcome outcome : List.of(
                AttemptOutcome.CANCELED, AttemptOutcome.CONNECT_ERROR, AttemptOutcome.RESET, AttemptOutcome.FAILED)) {
            Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(20));
            forwardedAfterRounds(f, 100, 20);
            forwardedAfterRounds(f, 900, 2);
            int before = forwardedAtOnce(f);
            for (int i = 0; i < 20; i++) {
                f.now += 300;
                f.request(Fixture.NON_IDEMPOTENT);
                RecordingHost.StartedAttempt sent = f.host.last();
                f.balancer.onRequestCancelled(f.now, sent.request());
                f.finish(sent, outcome, 200);
            }
            assertTrue(forwardedAtOnce(f) >= before, "after " + outcome);
        }
    }

    /**
     * Guards against a spread of work that passes for overload where objectives are short: the limit fell to one
     * and stayed there, and the fronts of a quiet fleet rejected most requests.
     */
    @Test
    void spreadOfWorkIsNotTakenForOverload() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(20));
        int before = forwardedAfterRounds(f, 100, 700, 20);
        int after = forwardedAfterRounds(f, 100, 700, 60);
        assertTrue(after >= Math.max(before, 8), before + " requests in flight, then " + after);
        assertTrue(forwardedAfterRounds(f, 950, 60) < 8, "overload is still seen");
        assertTrue(forwardedAfterRounds(f, 100, 700, 60) >= 8, "and over when it is");
    }

    /** Guards against late connections that pass for overload: the connect is no work of the endpoint. */
    @Test
    void slowConnectIsNotTakenForOverload() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(20));
        int before = forwardedAfterRounds(f, 100, 60);
        for (int round = 0; round < 60; round++) {
            int from = f.host.started.size();
            for (int i = 0; i < 60; i++) {
                f.request(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> out = List.copyOf(f.host.started.subList(from, f.host.started.size()));
            f.now += 900;
            for (RecordingHost.StartedAttempt sent : out) {
                f.balancer.onAttemptFinished(
                        f.now,
                        new AttemptResult(
                                sent.request(),
                                sent.attempt(),
                                sent.endpoint(),
                                AttemptOutcome.OK,
                                900,
                                800,
                                true,
                                true,
                                LoadReport.NONE));
            }
        }
        assertTrue(
                forwardedAtOnce(f) >= before, before + " requests in flight before, " + forwardedAtOnce(f) + " after");
    }

    /** Guards against one response that took long by chance and cuts again with each quick one behind it. */
    @Test
    void oneSlowResponseDecreasesASmallLimitOnce() {
        Fixture f = Fixture.of(3, 0, 0).list(Fixture.endpoints(4));
        oneAfterAnother(f, 40, 100);
        oneAfterAnother(f, 30, 220);
        int before = forwardedAtOnce(f);
        oneAfterAnother(f, 1, 1900);
        oneAfterAnother(f, 12, 220);
        int after = forwardedAtOnce(f);
        assertEquals(6, before, "four requests an endpoint over three balancers");
        assertEquals(5, after, "one cut");
    }

    private static void oneAfterAnother(Fixture f, int requests, double tookMs) {
        for (int i = 0; i < requests; i++) {
            f.request(Fixture.IDEMPOTENT);
            f.now += tookMs;
            f.finish(f.host.last(), AttemptOutcome.OK, tookMs);
        }
    }

    /** Guards against requests that leave overloaded endpoints and overload the next ones in turn (i495c4c). */
    @Test
    void requestsThatLeaveFullEndpointsDoNotOverloadAllOthers() {
        Fixture f = Fixture.of(100, 0, 0).list(Fixture.endpoints(10));
        for (int i = 0; i < 3; i++) {
            forwardedInASecond(f, 100);
        }
        for (int i = 0; i < 2; i++) {
            f.request(Fixture.IDEMPOTENT);
            for (int attempt = 0; attempt < 3; attempt++) {
                f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 1);
            }
        }
        int sent = f.host.started.size();
        f.request(Fixture.IDEMPOTENT);
        assertEquals(sent, f.host.started.size(), "six endpoints are full: a seventh is not tried");
        f.now += 60_000;
        forwardedInASecond(f, 100);
        assertTrue(f.host.started.size() > sent, "and all is well again once they are not");
    }
}
