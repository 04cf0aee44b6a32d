package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Checks which slot, endpoint and zone requests use. */
class SlotSelectionTest {

    /**
     * Returns how many of 20 requests leave the zone, after responses have taken {@code ownZoneMs} in the own zone and
     * {@code otherZoneMs} in the other.
     */
    private static int requestsToOtherZone(double ownZoneMs, double otherZoneMs) {
        Fixture f = Fixture.of(2, 0, 1);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            endpoints.add(new Endpoint("s" + i, i % 2, 0, 0, 0, EndpointState.READY, 1));
        }
        f.setEndpoints(endpoints);
        int requestsToOtherZone = 0;
        for (int i = 0; i < 120; i++) {
            f.nowMs += 200;
            f.sendRequest(Fixture.IDEMPOTENT);
            RecordingHost.StartedAttempt attempt = f.host.lastAttempt();
            boolean isInOtherZone = Integer.parseInt(attempt.endpoint().substring(1)) % 2 == 1;
            f.finishAttempt(attempt, AttemptOutcome.OK, i < 50 ? 50 : isInOtherZone ? otherZoneMs : ownZoneMs);
            requestsToOtherZone += isInOtherZone && i >= 100 ? 1 : 0;
        }
        return requestsToOtherZone;
    }

    @Test
    void requestsStayInTheirZoneIfOtherZonesAreNoFaster() {
        assertEquals(0, requestsToOtherZone(50, 50));
    }

    @Test
    void requestsLeaveTheirZoneIfOnlyItIsOverloaded() {
        int requestsToOtherZone = requestsToOtherZone(700, 60);
        assertTrue(requestsToOtherZone >= 15, requestsToOtherZone + " of 20 requests left the zone");
    }

    @Test
    void requestsUseFreeSlotsInOrderOfRank() {
        int balancers = 5;
        int balancerIndex = 2;
        Fixture f = Fixture.of(balancers, balancerIndex, 1).setEndpoints(Fixture.endpoints(4));
        record Slot(String endpoint, double rank) {}
        List<String> inHashOrder = Fixture.endpoints(4).stream()
                .map(Endpoint::id)
                .sorted(Comparator.comparingLong(Fixture::hash))
                .toList();
        List<Slot> expected = new ArrayList<>();
        for (int endpointIndex = 0; endpointIndex < 4; endpointIndex++) {
            double place = balancers * (1 - endpointIndex / 4.0);
            for (int slotNumber = 0; slotNumber < 4; slotNumber++) {
                expected.add(new Slot(
                        inHashOrder.get(endpointIndex), slotNumber * balancers + (balancerIndex + place) % balancers));
            }
        }
        expected.sort(Comparator.comparingDouble(Slot::rank));
        for (int i = 0; i < 12; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            assertEquals(expected.get(i).endpoint(), f.host.lastAttempt().endpoint(), "request " + i);
        }
    }

    @Test
    void freedSlotIsReusedBeforeSlotsOfHigherRank() {
        Fixture f = Fixture.of(3, 0, 1).setEndpoints(Fixture.endpoints(5));
        f.sendRequest(Fixture.IDEMPOTENT);
        RecordingHost.StartedAttempt first = f.host.lastAttempt();
        f.sendRequest(Fixture.IDEMPOTENT);
        f.finishAttempt(first, AttemptOutcome.OK, 10);
        f.sendRequest(Fixture.IDEMPOTENT);
        assertEquals(first.endpoint(), f.host.lastAttempt().endpoint());
    }

    @Test
    void lowestRankedSlotsOfAllBalancersAreSpreadByWeight() {
        Map<String, Integer> firstRequests = new HashMap<>();
        List<Endpoint> endpoints = new ArrayList<>(Fixture.endpoints(8));
        endpoints.set(3, new Endpoint("s3", 0, 0, 0, 0, EndpointState.READY, 3));
        for (int balancerIndex = 0; balancerIndex < 200; balancerIndex++) {
            Fixture f = Fixture.of(200, balancerIndex, 1).setEndpoints(endpoints);
            f.sendRequest(Fixture.IDEMPOTENT);
            firstRequests.merge(f.host.lastAttempt().endpoint(), 1, Integer::sum);
        }
        for (Endpoint endpoint : endpoints) {
            // Each of the sixteen rings rounds separately to a number of balancers, hence the tolerance.
            assertEquals(20 * endpoint.weight(), firstRequests.get(endpoint.id()), 4, endpoint.id());
        }
    }

    /**
     * Returns the first endpoint that each of 200 balancers uses, once the endpoints in {@code fullEndpoints} have
     * rejected its requests.
     */
    private static List<String> firstEndpoints(List<Endpoint> endpoints, Set<String> fullEndpoints) {
        List<String> endpointIds = new ArrayList<>();
        for (int balancerIndex = 0; balancerIndex < 200; balancerIndex++) {
            Fixture f = Fixture.of(200, balancerIndex, 1).setEndpoints(endpoints);
            for (String id : fullEndpoints) {
                f.sendRequest(Fixture.IDEMPOTENT);
                while (f.host.lastAttempt().endpoint().equals(id)) {
                    f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.QUEUE_FULL, 1);
                }
            }
            f.sendRequest(Fixture.IDEMPOTENT);
            endpointIds.add(f.host.lastAttempt().endpoint());
        }
        return endpointIds;
    }

    /** Guards against a single endpoint that gets all requests of one that is full, slow or cold (h68f2a6). */
    @Test
    void requestsThatLeaveEndpointAreSpreadOverSeveralOthers() {
        List<String> before = firstEndpoints(Fixture.endpoints(8), Set.of());
        List<String> after = firstEndpoints(Fixture.endpoints(8), Set.of("s2"));
        Set<String> nextEndpoints = new HashSet<>();
        for (int balancerIndex = 0; balancerIndex < 200; balancerIndex++) {
            if (before.get(balancerIndex).equals("s2")) {
                nextEndpoints.add(after.get(balancerIndex));
            }
        }
        assertTrue(nextEndpoints.size() >= 4, "at least 4 other endpoints expected, but got " + nextEndpoints);
    }

    /** Guards against cold endpoints that get none of their usual requests, or all of them (h68f2a6). */
    @Test
    void endpointWarmingUpGetsItsFractionOfRequests() {
        List<Endpoint> endpoints = new ArrayList<>(Fixture.endpoints(8));
        endpoints.set(3, Fixture.endpoint("s3", 0, 1_000_000 - 1, EndpointState.READY));
        int requestsToColdEndpoint = Collections.frequency(firstEndpoints(endpoints, Set.of()), "s3");
        assertTrue(
                requestsToColdEndpoint >= 5 && requestsToColdEndpoint <= 10,
                requestsToColdEndpoint + " of 25 requests at three tenths of the endpoint's capacity");
    }

    @Test
    void slotOfLowerHashIsUsedFirstAtEqualRank() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(6));
        f.sendRequest(Fixture.IDEMPOTENT);
        String endpointOfLowestHash = Fixture.endpoints(6).stream()
                .map(Endpoint::id)
                .min(Comparator.comparingLong(Fixture::hash))
                .orElseThrow();
        assertEquals(endpointOfLowestHash, f.host.lastAttempt().endpoint());
    }

    /**
     * Guards against an overloaded or slow endpoint that keeps getting requests because its slots have the lowest rank.
     */
    @Test
    void slowEndpointLosesItsLowestRanks() {
        Fixture f = Fixture.of(50, 0, 1).setEndpoints(Fixture.endpoints(10));
        f.sendRequest(Fixture.IDEMPOTENT);
        String slowEndpoint = f.host.lastAttempt().endpoint();
        int requestsToSlowEndpoint = 0;
        for (int i = 0; i < 60; i++) {
            RecordingHost.StartedAttempt attempt = f.host.lastAttempt();
            f.nowMs += 100;
            f.finishAttempt(attempt, AttemptOutcome.OK, attempt.endpoint().equals(slowEndpoint) ? 700 : 100);
            f.sendRequest(Fixture.IDEMPOTENT);
            requestsToSlowEndpoint += i >= 30 && f.host.lastAttempt().endpoint().equals(slowEndpoint) ? 1 : 0;
        }
        assertEquals(0, requestsToSlowEndpoint, "requests to the slow endpoint");
    }

    /**
     * Guards against many balancers that overload an endpoint that has just started. One request from each is already
     * too much.
     */
    @Test
    void endpointWarmingUpGetsAtMostItsFraction() {
        int balancers = 100;
        int requestsInFlight = 0;
        for (int balancerIndex = 0; balancerIndex < balancers; balancerIndex++) {
            Fixture f = Fixture.of(balancers, balancerIndex, 1);
            f.setEndpoints(
                    List.of(Fixture.endpoint("cold", 0, f.nowMs - 100, EndpointState.READY), Fixture.endpoint("warm")));
            for (int i = 0; i < 3; i++) {
                f.sendRequest(Fixture.IDEMPOTENT);
            }
            requestsInFlight += (int) f.host.started.stream()
                    .filter(endpointIndex -> endpointIndex.endpoint().equals("cold"))
                    .count();
        }
        // Its even share of 100 balancers is 50, and its warm-up fraction of that is 15. Each ring rounds separately.
        assertTrue(
                requestsInFlight > 0 && requestsInFlight <= 20,
                "requests in flight at the cold endpoint: " + requestsInFlight);
    }
}
