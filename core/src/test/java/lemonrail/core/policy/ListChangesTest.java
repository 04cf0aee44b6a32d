package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks changes of a long endpoint list: their cost, their immediate effects and the resulting state. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ListChangesTest {

    private static final int FLEET_SIZE = 400;
    /** The interval of background rounds, which is half of the connect timeout in the fixture's settings. */
    private static final double BACKGROUND_ROUND_MS = 100;
    /** The name of a timer that has no effect beyond passing the current time. */
    private static final long UNUSED_TIMER = 99;

    private static List<String> endpointsOfRequests(Fixture f, int requests) {
        List<String> endpoints = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            endpoints.add(f.host.lastAttempt().endpoint());
        }
        return endpoints;
    }

    private static Fixture balancerWith(int listed) {
        return Fixture.of(listed, 3, 1).setEndpoints(ListChangeCost.fleet(listed));
    }

    /** Returns a balancer after a change whose effect on places is still pending. */
    private static Fixture withPendingPlaceChange() {
        Fixture f = balancerWith(FLEET_SIZE);
        f.nowMs += 1000;
        f.updateEndpoints(ListChangeCost.fleet(FLEET_SIZE).get(7).withState(EndpointState.DRAINING));
        endpointsOfRequests(f, 1);
        f.nowMs += 1;
        return f;
    }

    private static Endpoint fleetEndpoint(String id) {
        return ListChangeCost.fleet(FLEET_SIZE).stream()
                .filter(endpoint -> endpoint.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a cost per change that grows with the list. */
    @Test
    void costOfFrequentChangesDoesNotGrowWithTheList() {
        double minCostRatio = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 3; i++) {
            double shortListCost = ListChangeCost.changeCostMicros(500, 0.2, 1000);
            double longListCost = ListChangeCost.changeCostMicros(5000, 0.2, 1000);
            minCostRatio = Math.min(minCostRatio, longListCost / shortListCost);
        }
        assertTrue(minCostRatio < 5, "cost ratio of a list ten times as long: " + minCostRatio + ", below 5 expected");
    }

    /** Guards against an update of places after changes that do not affect them. */
    @Test
    void costOfChangeWithoutEffectOnPlacesDoesNotGrowWithTheList() {
        double minCostRatio = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 3; i++) {
            double shortListCost = cpuTimeOfChangesWithoutEffectOnPlacesNs(500);
            minCostRatio = Math.min(minCostRatio, cpuTimeOfChangesWithoutEffectOnPlacesNs(5000) / shortListCost);
        }
        assertTrue(minCostRatio < 5, "cost ratio of a list ten times as long: " + minCostRatio + ", below 5 expected");
    }

    private static double cpuTimeOfChangesWithoutEffectOnPlacesNs(int listed) {
        Fixture f = balancerWith(listed);
        List<Endpoint> fleet = ListChangeCost.fleet(listed);
        long startNs = 0;
        for (int i = 0; i < 1000; i++) {
            f.nowMs += 1000;
            startNs = i == 500 ? ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() : startNs;
            Endpoint previous = fleet.get(i % listed);
            f.updateEndpoints(new Endpoint(
                    previous.id(),
                    previous.zone(),
                    0,
                    previous.cell() + 1 + i,
                    0,
                    EndpointState.READY,
                    previous.weight()));
        }
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startNs;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void deltasLeadToTheSameStateAsOneSnapshot(int seed) {
        Random random = new Random(seed);
        Map<String, Endpoint> listed = new HashMap<>();
        ListChangeCost.fleet(FLEET_SIZE).forEach(endpoint -> listed.put(endpoint.id(), endpoint));
        Fixture f = balancerWith(FLEET_SIZE);
        for (int step = 0; step < 300; step++) {
            f.nowMs += random.nextInt(12);
            List<Endpoint> changes = new ArrayList<>();
            for (int i = random.nextInt(random.nextInt(20) == 0 ? 60 : 3); i >= 0; i--) {
                Endpoint previous = fleetEndpoint("s-" + Integer.toHexString(random.nextInt(FLEET_SIZE) * 7919 + 1));
                changes.add(new Endpoint(
                        previous.id(),
                        random.nextInt(7),
                        0,
                        previous.cell(),
                        random.nextInt(4) == 0 ? f.nowMs - random.nextInt(1000) : 0,
                        EndpointState.values()[random.nextInt(3)],
                        1 + random.nextInt(3)));
            }
            changes.forEach(endpoint -> listed.put(endpoint.id(), endpoint));
            f.updateEndpoints(changes.toArray(Endpoint[]::new));
            if (random.nextBoolean()) {
                f.balancer.onTimer(f.nowMs, UNUSED_TIMER);
            }
        }
        f.nowMs += BACKGROUND_ROUND_MS;
        f.balancer.onTimer(f.nowMs, UNUSED_TIMER);
        Fixture withSnapshot = Fixture.of(FLEET_SIZE, 3, 1);
        withSnapshot.nowMs = f.nowMs;
        List<Endpoint> remaining = listed.values().stream()
                .filter(endpoint -> endpoint.state() != EndpointState.GONE)
                .toList();
        withSnapshot.setEndpoints(remaining);
        assertEquals(endpointsOfRequests(withSnapshot, 250), endpointsOfRequests(f, 250));
        assertEquals(remaining.size(), f.balancer.knownEndpoints());
    }

    /** An endpoint's readiness takes effect immediately. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "GONE"})
    void endpointThatLeavesWhilePlacesArePendingGetsNoRequests(EndpointState state) {
        Fixture f = withPendingPlaceChange();
        Set<String> departed = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            String id = f.host.lastAttempt().endpoint();
            assertFalse(departed.contains(id), id + " has left");
            departed.add(id);
            f.updateEndpoints(fleetEndpoint(id).withState(state));
        }
    }

    @Test
    void endpointThatIsAddedWhilePlacesArePendingIsUsedWithinABackgroundRound() {
        Fixture f = withPendingPlaceChange();
        String first = endpointsOfRequests(f, 1).get(0);
        f.updateEndpoints(fleetEndpoint(first).withState(EndpointState.DRAINING));
        f.updateEndpoints(fleetEndpoint(first));
        f.nowMs += BACKGROUND_ROUND_MS;
        assertTrue(endpointsOfRequests(f, 250).contains(first));
    }

    /** If all endpoints are replaced, the new ones must be used immediately. */
    @Test
    void newEndpointsServeRequestsAfterFleetIsReplaced() {
        Fixture f = withPendingPlaceChange();
        List<Endpoint> changes = new ArrayList<>();
        for (Endpoint endpoint : ListChangeCost.fleet(FLEET_SIZE)) {
            changes.add(endpoint.withState(EndpointState.GONE));
            changes.add(new Endpoint("n" + endpoint.id(), endpoint.zone(), 0, 0, 0, EndpointState.READY, 1));
        }
        f.updateEndpoints(changes.toArray(Endpoint[]::new));
        assertTrue(endpointsOfRequests(f, 100).stream().allMatch(id -> id.startsWith("n")));
    }

    /**
     * New endpoints must be used immediately while many others leave, because the remaining ones would be overloaded.
     */
    @Test
    void newEndpointsAreUsedWhileMostOthersLeave() {
        Fixture f = withPendingPlaceChange();
        List<Endpoint> fleet = ListChangeCost.fleet(FLEET_SIZE);
        for (int i = 2; i < FLEET_SIZE; i++) {
            f.updateEndpoints(fleet.get(i).withState(EndpointState.GONE));
            f.updateEndpoints(new Endpoint("n" + i, i % 7, 0, 0, 0, EndpointState.READY, 1));
        }
        assertTrue(new HashSet<>(endpointsOfRequests(f, 60)).size() > 50);
    }

    /**
     * Guards against a candidate that stays in the list of its previous zone, so that the refill of the pool adds it in
     * an endless loop.
     */
    @Test
    void endpointsMoveToOtherZones() {
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            Fixture f = Fixture.of(3, 0, 1).setEndpoints(Fixture.endpoints(6));
            for (int i = 0; i < 6; i++) {
                f.updateEndpoints(new Endpoint("s" + i, 1 + i % 2, 0, 0, 0, EndpointState.READY, 1));
                f.nowMs += BACKGROUND_ROUND_MS;
                assertNotEquals(0, endpointsOfRequests(f, 3).size());
            }
            // 6 updates with 3 requests each.
            assertEquals(18, f.host.started.size());
        });
    }
}
