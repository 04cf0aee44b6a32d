package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.core.balancer.Endpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Fleets of 1,024 balancers and 1,024 servers: nothing that the decisions keep ends below either. */
class FleetSizeTest {

    private static final int SIZE = 1024;
    /** First calls of all balancers that one server gets, where each makes one and places are even. */
    private static final int MOST_FIRST_CALLS = 4;

    /** Guards against a bound on the slots of a pool, or on calls at once, below the servers listed. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void oneBalancerHasACallOutAtEachOfAllServers(int tier) {
        Fixture fixture = Fixture.of(1, 0, tier).list(Fixture.servers(SIZE));
        for (int i = 0; i < SIZE; i++) {
            fixture.request(Fixture.IDEMPOTENT);
        }
        Set<String> used = new HashSet<>();
        fixture.host.sent.forEach(sent -> used.add(sent.server()));
        assertEquals(0, fixture.host.refused.size() + fixture.host.failed.size(), "refused or failed");
        assertEquals(SIZE, fixture.host.sent.size(), "calls that are out");
        assertTrue(used.size() > SIZE / 2, used.size() + " servers in use");
    }

    /** Guards against balancers or servers that are cut off a list: each has a place of its own among all. */
    @Test
    void theFirstCallsOfAllBalancersReachServersAllOverTheList() {
        List<Endpoint> listed = Fixture.servers(SIZE);
        Map<String, Integer> calls = new HashMap<>();
        for (int own = 0; own < SIZE; own++) {
            Fixture fixture = Fixture.of(SIZE, own, 1).list(listed);
            fixture.request(Fixture.IDEMPOTENT);
            calls.merge(fixture.host.last().server(), 1, Integer::sum);
        }
        assertTrue(calls.size() > SIZE / 2, calls.size() + " servers got a first call");
        int most = calls.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(most <= MOST_FIRST_CALLS, "first calls at one server: " + most);
    }
}
