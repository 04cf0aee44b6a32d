package lemonrail.core.policy;

import static lemonrail.core.policy.LoadPatterns.countForwardedAfterRounds;
import static lemonrail.core.policy.LoadPatterns.countForwardedAtOnce;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Checks how the concurrency limit starts, grows, decreases and adapts to the capacity. */
class ConcurrencyLimitTest {

    /**
     * Guards against many rejections while the requests of a drained balancer arrive here and endpoints have free
     * capacity.
     */
    @Test
    void limitGrowsFastWhileRequestsAreRejectedAndResponsesAreFast() {
        Fixture f = Fixture.of(1, 0, 0).setEndpoints(Fixture.endpoints(8));
        int forwarded = 0;
        for (int round = 0; round < 6; round++) {
            int startedBefore = f.host.started.size();
            for (int i = 0; i < 200; i++) {
                f.sendRequest(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> attempts =
                    List.copyOf(f.host.started.subList(startedBefore, f.host.started.size()));
            forwarded = attempts.size();
            f.nowMs += 50;
            attempts.forEach(attempt -> f.finishAttempt(attempt, AttemptOutcome.OK, 50));
        }
        assertTrue(forwarded >= 120, forwarded + " of 200 requests are forwarded at once in the sixth round");
    }

    /**
     * Guards against a limit that slow readers use up: a response that has started is no load on its endpoint any more.
     */
    @Test
    void streamedResponseDoesNotCountAsInFlight() {
        Fixture f = Fixture.of(1, 0, 0).setEndpoints(Fixture.endpoints(2));
        int forwarded = 0;
        for (int i = 0; i < 40; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            RecordingHost.StartedAttempt attempt = f.host.lastAttempt();
            f.balancer.onResponseStreamStarted(f.nowMs, attempt.request(), attempt.attempt());
            forwarded = f.host.started.size();
        }
        assertEquals(40, forwarded, "no request is rejected");
        for (RecordingHost.StartedAttempt attempt : List.copyOf(f.host.started)) {
            f.finishAttempt(attempt, AttemptOutcome.OK, 50);
        }
        assertEquals(0, f.balancer.requestsInFlight());
        int startedBefore = f.host.started.size();
        for (int i = 0; i < 40; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        assertTrue(f.host.started.size() < startedBefore + 40, "attempts without a response count as in flight");
    }

    /**
     * Guards against a rollout that sends the requests of four endpoints to the last ready one, where all of them time
     * out. Their late results would then keep the limit low when the other endpoints are back (r87febf).
     */
    @Test
    void limitFollowsTheNumberOfReadyEndpoints() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(4));
        assertEquals(8, countForwardedAtOnce(f), "half of four requests for each of four endpoints");
        f.setEndpoints(Fixture.endpoints(1));
        assertEquals(2, countForwardedAtOnce(f), "limit with a quarter of the endpoints");
        f.setEndpoints(Fixture.endpoints(4));
        assertEquals(8, countForwardedAtOnce(f), "limit with all endpoints back");
    }

    /**
     * Guards against overload after many endpoints are replaced: cold endpoints cannot take as many requests as the
     * warm ones.
     */
    @Test
    void limitFollowsTheWarmUpFraction() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(4));
        assertEquals(8, countForwardedAtOnce(f));
        List<Endpoint> replaced = new ArrayList<>(Fixture.endpoints(2));
        replaced.add(Fixture.endpoint("cold-1", 0, f.nowMs, EndpointState.READY));
        replaced.add(Fixture.endpoint("cold-2", 0, f.nowMs, EndpointState.READY));
        f.setEndpoints(replaced);
        assertEquals(
                6, countForwardedAtOnce(f), "two warm endpoints, and two with three tenths of a warm one's capacity");
        f.nowMs += 4000;
        f.balancer.onTimer(f.nowMs, 99);
        assertEquals(7, countForwardedAtOnce(f), "half of the warm-up time has passed");
        f.nowMs += 4000;
        f.balancer.onTimer(f.nowMs, 99);
        assertEquals(8, countForwardedAtOnce(f), "all endpoints are warm");
    }

    /**
     * Guards against congestion at the first tier (incident i5f5502), which the fixed maximum alone does not prevent.
     */
    @Test
    void firstTierStartsWithASmallLimit() {
        Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        assertEquals(8, f.host.started.size(), "four requests per endpoint, divided by ten balancers");
        assertEquals(92, f.host.rejected.size());
    }

    /** Guards against lasting congestion: responses that use up the latency objective must decrease the limit. */
    @Test
    void slowResponsesLowerTheLimitAndFastOnesRaiseIt() {
        Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(20));
        int limitAfterFastResponses = countForwardedAfterRounds(f, 100, 60);
        int limitAfterSlowResponses = countForwardedAfterRounds(f, 900, 60);
        assertTrue(limitAfterFastResponses > 16, "limit after fast responses: " + limitAfterFastResponses);
        assertTrue(
                limitAfterSlowResponses < limitAfterFastResponses / 2,
                "limit after slow responses: " + limitAfterSlowResponses);
        assertTrue(countForwardedAfterRounds(f, 100, 200) > limitAfterSlowResponses, "the limit grows again");
    }

    /** Guards against a limit that recovers slowly after the end of a slowdown of all endpoints. */
    @Test
    void limitRecoversSoonAfterDecreases() {
        Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(50));
        countForwardedAfterRounds(f, 100, 20);
        int limitAfterSlowResponses = countForwardedAfterRounds(f, 950, 60);
        assertTrue(limitAfterSlowResponses < 8, "limit after slow responses: " + limitAfterSlowResponses);
        int rounds = 0;
        while (countForwardedAfterRounds(f, 100, 1) < 30) {
            rounds++;
        }
        assertTrue(rounds < 50, "recovery took " + rounds + " rounds of responses");
    }

    /**
     * Guards against a single balancer whose limit decreases alone and stays at one request, while others have many.
     */
    @Test
    void limitOfASingleBalancerRecovers() {
        Fixture f = Fixture.of(3, 0, 0).setEndpoints(Fixture.endpoints(4));
        countForwardedAfterRounds(f, 100, 40);
        int limitAfterSlowResponses = countForwardedAfterRounds(f, 950, 40);
        assertEquals(
                2,
                limitAfterSlowResponses,
                "the minimum of one request per endpoint: four, divided by three balancers");
        int limitAfterRecovery = countForwardedAfterRounds(f, 260, 16);
        assertTrue(
                limitAfterRecovery >= 8,
                limitAfterRecovery + " requests in flight after responses that only a small limit takes for overload");
    }

    /**
     * Guards against many balancers whose limits grow at the same time: together they add one request per endpoint and
     * round.
     */
    @Test
    void limitGrowsOnlyByThisBalancersShare() {
        Fixture fewBalancers = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(10));
        Fixture manyBalancers = Fixture.of(100, 0, 0).setEndpoints(Fixture.endpoints(10));
        assertTrue(countForwardedAfterRounds(fewBalancers, 100, 60)
                > 2 * countForwardedAfterRounds(manyBalancers, 100, 60));
    }
}
