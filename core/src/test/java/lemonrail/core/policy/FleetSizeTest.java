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

/**
 * Checks fleets of 1,024 balancers and 1,024 endpoints, because no bound in the balancer may be below these numbers.
 */
class FleetSizeTest {

    private static final int FLEET_SIZE = 1024;
    /** The maximum number of first requests at one endpoint, if each balancer sends one and places are even. */
    private static final int MAX_FIRST_REQUESTS_PER_ENDPOINT = 4;

    /**
     * Guards against a bound on the slots of a pool or on requests in flight that is below the number of listed
     * endpoints.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void oneBalancerHasRequestsInFlightAtAllEndpoints(int tier) {
        Fixture fixture = Fixture.of(1, 0, tier).setEndpoints(Fixture.endpoints(FLEET_SIZE));
        for (int i = 0; i < FLEET_SIZE; i++) {
            fixture.sendRequest(Fixture.IDEMPOTENT);
        }
        Set<String> usedEndpoints = new HashSet<>();
        fixture.host.started.forEach(attempt -> usedEndpoints.add(attempt.endpoint()));
        assertEquals(0, fixture.host.rejected.size() + fixture.host.failed.size(), "rejected or failed");
        assertEquals(FLEET_SIZE, fixture.host.started.size(), "requests in flight");
        assertTrue(usedEndpoints.size() > FLEET_SIZE / 2, usedEndpoints.size() + " of 1024 endpoints in use");
    }

    /** Guards against a list of balancers or endpoints that is truncated. Each of them must have its own place. */
    @Test
    void firstRequestsOfAllBalancersAreSpreadOverTheList() {
        List<Endpoint> listed = Fixture.endpoints(FLEET_SIZE);
        Map<String, Integer> requests = new HashMap<>();
        for (int balancerIndex = 0; balancerIndex < FLEET_SIZE; balancerIndex++) {
            Fixture fixture = Fixture.of(FLEET_SIZE, balancerIndex, 1).setEndpoints(listed);
            fixture.sendRequest(Fixture.IDEMPOTENT);
            requests.merge(fixture.host.lastAttempt().endpoint(), 1, Integer::sum);
        }
        assertTrue(requests.size() > FLEET_SIZE / 2, requests.size() + " endpoints got a first request");
        int maxRequests =
                requests.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        assertTrue(
                maxRequests <= MAX_FIRST_REQUESTS_PER_ENDPOINT,
                "maximum of first requests at one endpoint: " + maxRequests);
    }
}
