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

/** Fleets of 1,024 balancers and 1,024 endpoints: no structure of the balancer is bounded below either. */
class FleetSizeTest {

    private static final int SIZE = 1024;
    /** First requests of all balancers that one endpoint gets, where each makes one and places are even. */
    private static final int MAX_FIRST_REQUESTS = 4;

    /** Guards against a bound on the slots of a pool, or on requests in flight, below the endpoints listed. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void oneBalancerHasRequestsInFlightAtAllEndpoints(int tier) {
        Fixture fixture = Fixture.of(1, 0, tier).list(Fixture.endpoints(SIZE));
        for (int i = 0; i < SIZE; i++) {
            fixture.request(Fixture.IDEMPOTENT);
        }
        Set<String> used = new HashSet<>();
        fixture.host.started.forEach(sent -> used.add(sent.endpoint()));
        assertEquals(0, fixture.host.rejected.size() + fixture.host.failed.size(), "rejected or failed");
        assertEquals(SIZE, fixture.host.started.size(), "requests in flight");
        assertTrue(used.size() > SIZE / 2, used.size() + " endpoints in use");
    }

    /** Guards against balancers or endpoints that are cut off a list: each has a place of its own among all. */
    @Test
    void firstRequestsOfAllBalancersReachEndpointsAllOverTheList() {
        List<Endpoint> listed = Fixture.endpoints(SIZE);
        Map<String, Integer> requests = new HashMap<>();
        for (int own = 0; own < SIZE; own++) {
            Fixture fixture = Fixture.of(SIZE, own, 1).list(listed);
            fixture.request(Fixture.IDEMPOTENT);
            requests.merge(fixture.host.last().endpoint(), 1, Integer::sum);
        }
        assertTrue(requests.size() > SIZE / 2, requests.size() + " endpoints got a first request");
        int most = requests.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(most <= MAX_FIRST_REQUESTS, "first requests at one endpoint: " + most);
    }
}
