package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Checks how many requests an endpoint gets during its slow start and after it. */
class SlowStartTest {

    private static final int LOWER_TIER = 1;
    /** Balancers of two endpoints; one that is warming up cannot take a request from each. */
    private static final int MANY = 1000;
    /** Three tenths of the 500 balancers that are its even part. */
    private static final int WARM_PART = 150;

    private static final int PRIOR_REQUESTS = 60;

    /** Guards against an endpoint that stays at one slot after its slow start. */
    @Test
    void endpointGetsSeveralRequestsAtOnceOnceItIsWarm() {
        Fixture f = Fixture.of(1, 0, LOWER_TIER);
        f.list(List.of(Fixture.endpoint("cold", 0, f.now, EndpointState.READY)));
        f.request(Fixture.IDEMPOTENT);
        f.request(Fixture.IDEMPOTENT);
        assertEquals(1, f.host.started.size(), "one request at a time while it is cold");
        f.now += 8000;
        f.request(Fixture.IDEMPOTENT);
        f.request(Fixture.IDEMPOTENT);
        assertEquals(3, f.host.started.size(), "two more now that it is warm, beside the one still in flight");
    }

    /** Guards against many balancers without estimates that send a request each at once. */
    @Test
    void balancersWithoutEstimatesSendLittle() {
        int users = balancersThatUseAnEndpointWarmingUp(0, 1);
        assertTrue(users > 0 && users <= 12, "requests in flight " + users);
    }

    /** Guards against overload by such balancers when endpoints serve only one request in six. */
    @Test
    void balancersOverCapacityArePacedByTheAdmissionRate() {
        int users = balancersThatUseAnEndpointWarmingUp(PRIOR_REQUESTS, 6);
        assertTrue(users > WARM_PART / 12 && users <= WARM_PART / 3, "requests in flight " + users);
    }

    /** Guards against an endpoint that is left out while it warms up, though all requests are served. */
    @Test
    void balancersWhoseRequestsAreServedUseTheWarmUpFraction() {
        int users = balancersThatUseAnEndpointWarmingUp(PRIOR_REQUESTS, 1);
        assertTrue(users >= WARM_PART * 9 / 10 && users <= WARM_PART * 11 / 10, "requests in flight " + users);
    }

    /** Returns how many balancers use an endpoint that warms up; before, one in so many requests was served. */
    private static int balancersThatUseAnEndpointWarmingUp(int requestsBefore, int oneServedIn) {
        int users = 0;
        for (int own = 0; own < MANY; own++) {
            Fixture f = Fixture.of(MANY, own, LOWER_TIER);
            f.list(List.of(Fixture.endpoint("other"), Fixture.endpoint("warm")));
            for (int i = 0; i < requestsBefore; i++) {
                f.now += 300;
                f.request(Fixture.IDEMPOTENT);
                f.finish(f.host.last(), AttemptOutcome.OK, 10);
                for (int unserved = 1; unserved < oneServedIn; unserved++) {
                    f.request(Fixture.NON_IDEMPOTENT);
                    f.finish(f.host.last(), AttemptOutcome.CANCELED, 10);
                }
            }
            f.list(List.of(Fixture.endpoint("cold", 0, f.now, EndpointState.READY), Fixture.endpoint("warm")));
            f.now += 100;
            f.balancer.onTimer(f.now, 99);
            int before = f.host.started.size();
            for (int i = 0; i < 3; i++) {
                f.request(Fixture.IDEMPOTENT);
            }
            users += (int) f.host.started.stream()
                    .skip(before)
                    .filter(s -> s.endpoint().equals("cold"))
                    .count();
        }
        return users;
    }
}
