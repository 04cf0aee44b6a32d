package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Checks how many requests an endpoint gets during and after its slow start. */
class SlowStartTest {

    private static final int LOWER_TIER = 1;
    /**
     * The number of balancers for two endpoints. An endpoint that is warming up cannot take a request from each of
     * them.
     */
    private static final int BALANCERS = 1000;
    /** Three tenths of an even share, which is 500 balancers. */
    private static final int WARM_UP_SHARE = 150;

    private static final int PRIOR_REQUESTS = 60;

    /** Guards against an endpoint that keeps only one slot after its slow start. */
    @Test
    void warmEndpointGetsSeveralRequestsAtOnce() {
        Fixture f = Fixture.of(1, 0, LOWER_TIER);
        f.setEndpoints(List.of(Fixture.endpoint("cold", 0, f.nowMs, EndpointState.READY)));
        f.sendRequest(Fixture.IDEMPOTENT);
        f.sendRequest(Fixture.IDEMPOTENT);
        assertEquals(1, f.host.started.size(), "one request at a time while it is cold");
        f.nowMs += 8000;
        f.sendRequest(Fixture.IDEMPOTENT);
        f.sendRequest(Fixture.IDEMPOTENT);
        assertEquals(3, f.host.started.size(), "two more once it is warm, in addition to the one in flight");
    }

    /** Guards against many balancers without estimates that each send a request at once. */
    @Test
    void balancersWithoutEstimatesSendFewRequests() {
        int requestsInFlight = requestsToEndpointWarmingUp(0, 1);
        assertTrue(requestsInFlight > 0 && requestsInFlight <= 12, "requests in flight " + requestsInFlight);
    }

    /** Guards against overload of an endpoint that warms up, when endpoints serve only one request in six. */
    @Test
    void admissionRateLimitsBalancersOverCapacity() {
        int requestsInFlight = requestsToEndpointWarmingUp(PRIOR_REQUESTS, 6);
        assertTrue(
                requestsInFlight > WARM_UP_SHARE / 12 && requestsInFlight <= WARM_UP_SHARE / 3,
                "requests in flight " + requestsInFlight);
    }

    /** Guards against an endpoint that is not used while it warms up, although all requests are served. */
    @Test
    void balancersWhoseRequestsAreServedUseTheWarmUpFraction() {
        int requestsInFlight = requestsToEndpointWarmingUp(PRIOR_REQUESTS, 1);
        assertTrue(
                requestsInFlight >= WARM_UP_SHARE * 9 / 10 && requestsInFlight <= WARM_UP_SHARE * 11 / 10,
                "requests in flight " + requestsInFlight);
    }

    /**
     * Returns the number of requests of all balancers to an endpoint that warms up, after earlier requests of which one
     * in {@code requestsPerServed} was served.
     */
    private static int requestsToEndpointWarmingUp(int earlierRequests, int requestsPerServed) {
        int requestsInFlight = 0;
        for (int balancerIndex = 0; balancerIndex < BALANCERS; balancerIndex++) {
            Fixture f = Fixture.of(BALANCERS, balancerIndex, LOWER_TIER);
            f.setEndpoints(List.of(Fixture.endpoint("other"), Fixture.endpoint("warm")));
            for (int i = 0; i < earlierRequests; i++) {
                f.nowMs += 300;
                f.sendRequest(Fixture.IDEMPOTENT);
                f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, 10);
                for (int unserved = 1; unserved < requestsPerServed; unserved++) {
                    f.sendRequest(Fixture.NON_IDEMPOTENT);
                    f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.CANCELED, 10);
                }
            }
            f.setEndpoints(
                    List.of(Fixture.endpoint("cold", 0, f.nowMs, EndpointState.READY), Fixture.endpoint("warm")));
            f.nowMs += 100;
            f.balancer.onTimer(f.nowMs, 99);
            int startedBefore = f.host.started.size();
            for (int i = 0; i < 3; i++) {
                f.sendRequest(Fixture.IDEMPOTENT);
            }
            requestsInFlight += (int) f.host.started.stream()
                    .skip(startedBefore)
                    .filter(s -> s.endpoint().equals("cold"))
                    .count();
        }
        return requestsInFlight;
    }
}
