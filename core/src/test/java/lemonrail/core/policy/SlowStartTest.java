package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** What a server that has just started is given, and what it is given once it is warm. */
class SlowStartTest {

    private static final int LOWER_TIER = 1;
    /** So many before two servers are more than a cold one bears calls at once from. */
    private static final int MANY = 1000;
    /** Three tenths of the 500 balancers that are its even part. */
    private static final int WARM_PART = 150;

    private static final int KNOWN_CALLS = 60;

    /** Guards against a server that keeps to the one slot of its start until something else re-offers it. */
    @Test
    void aServerThatTurnsWarmGetsMoreThanOneCallAtOnce() {
        Fixture f = Fixture.of(1, 0, LOWER_TIER);
        f.list(List.of(Fixture.server("cold", 0, f.now, EndpointState.READY)));
        f.request(Fixture.IDEMPOTENT);
        f.request(Fixture.IDEMPOTENT);
        assertEquals(1, f.host.sent.size(), "one call at a time while it is cold");
        f.now += 8000;
        f.request(Fixture.IDEMPOTENT);
        f.request(Fixture.IDEMPOTENT);
        assertEquals(3, f.host.sent.size(), "two more now that it is warm, beside the one still out");
    }

    /** Guards against balancers far beyond its budget that know nothing yet and send a call each at once. */
    @Test
    void unknowingBalancersAreCareful() {
        int users = usersOfAColdServer(0, 1);
        assertTrue(users > 0 && users <= 12, "calls at once " + users);
    }

    /** Guards against such balancers when servers answer one call in six: all that they want is too much. */
    @Test
    void balancersFarBeyondItsBudgetArePacedByWhatIsServed() {
        int users = usersOfAColdServer(KNOWN_CALLS, 6);
        assertTrue(users > WARM_PART / 12 && users <= WARM_PART / 3, "calls at once " + users);
    }

    /** Guards against a cold server that is left out though all calls are served, and few come. */
    @Test
    void balancersWhoseCallsAreServedKeepToTheWarmPart() {
        int users = usersOfAColdServer(KNOWN_CALLS, 1);
        assertTrue(users >= WARM_PART * 9 / 10 && users <= WARM_PART * 11 / 10, "calls at once " + users);
    }

    /** How many balancers use a cold server, after so many calls of which one in so many was served. */
    private static int usersOfAColdServer(int callsBefore, int oneServedIn) {
        int users = 0;
        for (int own = 0; own < MANY; own++) {
            Fixture f = Fixture.of(MANY, own, LOWER_TIER);
            f.list(List.of(Fixture.server("other"), Fixture.server("warm")));
            for (int i = 0; i < callsBefore; i++) {
                f.now += 300;
                f.request(Fixture.IDEMPOTENT);
                f.finish(f.host.last(), AttemptOutcome.OK, 10);
                for (int unserved = 1; unserved < oneServedIn; unserved++) {
                    f.request(Fixture.NON_IDEMPOTENT);
                    f.finish(f.host.last(), AttemptOutcome.CANCELED, 10);
                }
            }
            f.list(List.of(Fixture.server("cold", 0, f.now, EndpointState.READY), Fixture.server("warm")));
            f.now += 100;
            f.balancer.onTimer(f.now, 99);
            int before = f.host.sent.size();
            for (int i = 0; i < 3; i++) {
                f.request(Fixture.IDEMPOTENT);
            }
            users += (int) f.host.sent.stream()
                    .skip(before)
                    .filter(s -> s.server().equals("cold"))
                    .count();
        }
        return users;
    }
}
