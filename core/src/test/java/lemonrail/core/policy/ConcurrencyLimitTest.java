package lemonrail.core.policy;

import static lemonrail.core.policy.LoadPatterns.forwardedAfterRounds;
import static lemonrail.core.policy.LoadPatterns.forwardedAtOnce;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Checks how the concurrency limit starts, grows, decreases and follows the capacity. */
class ConcurrencyLimitTest {

    /** Guards against many rejections while a drained balancer's requests come here, and endpoints have room. */
    @Test
    void limitGrowsFastWhileRequestsAreRejectedAndResponsesAreFast() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.endpoints(8));
        int taken = 0;
        for (int round = 0; round < 6; round++) {
            int before = f.host.started.size();
            for (int i = 0; i < 200; i++) {
                f.request(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> out = List.copyOf(f.host.started.subList(before, f.host.started.size()));
            taken = out.size();
            f.now += 50;
            out.forEach(sent -> f.finish(sent, AttemptOutcome.OK, 50));
        }
        assertTrue(taken >= 120, taken + " of 200 are taken at once by then");
    }

    /** Guards against a limit that slow readers use up: a begun response is no load of its endpoint any more. */
    @Test
    void streamedResponseDoesNotCountAsInFlight() {
        Fixture f = Fixture.of(1, 0, 0).list(Fixture.endpoints(2));
        int taken = 0;
        for (int i = 0; i < 40; i++) {
            f.request(Fixture.IDEMPOTENT);
            RecordingHost.StartedAttempt sent = f.host.last();
            f.balancer.onResponseStreamStarted(f.now, sent.request(), sent.attempt());
            taken = f.host.started.size();
        }
        assertEquals(40, taken, "none is rejected");
        for (RecordingHost.StartedAttempt sent : List.copyOf(f.host.started)) {
            f.finish(sent, AttemptOutcome.OK, 50);
        }
        assertEquals(0, f.balancer.requestsInFlight());
        int before = f.host.started.size();
        for (int i = 0; i < 40; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        assertTrue(f.host.started.size() < before + 40, "attempts without a response count as before");
    }

    /**
     * Guards against a release that leaves the requests of four endpoints to the last of them, where all of them
     * run out of time, and whose late results then hold the limit down when the others are back (r87febf).
     */
    @Test
    void limitFollowsTheNumberOfReadyEndpoints() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(4));
        assertEquals(8, forwardedAtOnce(f), "two for each of two cores, and half of that is this balancer's");
        f.list(Fixture.endpoints(1));
        assertEquals(2, forwardedAtOnce(f), "a quarter of the endpoints");
        f.list(Fixture.endpoints(4));
        assertEquals(8, forwardedAtOnce(f), "all are back");
    }

    /** Guards against a mass replacement: cold ones cannot take what the warm ones took that they replace. */
    @Test
    void limitFollowsTheWarmUpFraction() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(4));
        assertEquals(8, forwardedAtOnce(f));
        List<Endpoint> replaced = new ArrayList<>(Fixture.endpoints(2));
        replaced.add(Fixture.endpoint("cold-1", 0, f.now, EndpointState.READY));
        replaced.add(Fixture.endpoint("cold-2", 0, f.now, EndpointState.READY));
        f.list(replaced);
        assertEquals(6, forwardedAtOnce(f), "two warm endpoints, and two that can do three tenths of one");
        f.now += 4000;
        f.balancer.onTimer(f.now, 99);
        assertEquals(7, forwardedAtOnce(f), "half of their time has passed");
        f.now += 4000;
        f.balancer.onTimer(f.now, 99);
        assertEquals(8, forwardedAtOnce(f), "all are warm");
    }

    /** Guards against the first tier's jam (incident i5f5502): the ceiling alone bounds nothing. */
    @Test
    void firstTierStartsWithASmallLimit() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        assertEquals(8, f.host.started.size(), "four requests an endpoint over ten balancers");
        assertEquals(92, f.host.rejected.size());
    }

    /** Guards against a jam that stays: responses that eat the objective must bring the limit down. */
    @Test
    void slowResponsesLowerTheLimitAndFastOnesRaiseIt() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(20));
        int quick = forwardedAfterRounds(f, 100, 60);
        int slow = forwardedAfterRounds(f, 900, 60);
        assertTrue(quick > 16, "grew to " + quick);
        assertTrue(slow < quick / 2, "fell to " + slow);
        assertTrue(forwardedAfterRounds(f, 100, 200) > slow, "grows again");
    }

    /** Guards against a limit that creeps back after a shared slowdown is over (addis fresh day). */
    @Test
    void limitRecoversSoonAfterDecreases() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(50));
        forwardedAfterRounds(f, 100, 20);
        int low = forwardedAfterRounds(f, 950, 60);
        assertTrue(low < 8, "cut to " + low);
        int rounds = 0;
        while (forwardedAfterRounds(f, 100, 1) < 30) {
            rounds++;
        }
        assertTrue(rounds < 50, "took " + rounds + " rounds of responses");
    }

    /** Guards against one balancer that is cut alone, and stays at a request where others have many. */
    @Test
    void limitOfASingleBalancerRecovers() {
        Fixture f = Fixture.of(3, 0, 0).list(Fixture.endpoints(4));
        forwardedAfterRounds(f, 100, 40);
        int cut = forwardedAfterRounds(f, 950, 40);
        assertEquals(2, cut, "no endpoint is overloaded by a request alone: four over three balancers");
        int back = forwardedAfterRounds(f, 260, 16);
        assertTrue(back >= 8, back + " requests in flight after responses that a larger limit bears");
    }

    /** Guards against many balancers that grow at once: together they add one request an endpoint and round. */
    @Test
    void limitGrowsByThisBalancersPartOnly() {
        Fixture few = Fixture.of(10, 0, 0).list(Fixture.endpoints(10));
        Fixture many = Fixture.of(100, 0, 0).list(Fixture.endpoints(10));
        assertTrue(forwardedAfterRounds(few, 100, 60) > 2 * forwardedAfterRounds(many, 100, 60));
    }
}
