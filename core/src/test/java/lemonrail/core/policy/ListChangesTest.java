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

/** Checks changes of a long endpoint list: their cost, what takes effect at once, and the state they lead to. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ListChangesTest {

    private static final int LISTED = 400;
    /** Half of the connect timeout in the fixture's settings. */
    private static final double ROUND_MS = 100;
    /** A timer without effect: its event only shows the time. */
    private static final long NO_TIMER = 99;

    private static List<String> firstEndpoints(Fixture f, int requests) {
        List<String> endpoints = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            f.request(Fixture.IDEMPOTENT);
            endpoints.add(f.host.last().endpoint());
        }
        return endpoints;
    }

    private static Fixture before(int listed) {
        return Fixture.of(listed, 3, 1).list(ListChangeCost.fleet(listed));
    }

    /** Returns a balancer after a change, before places are settled again. */
    private static Fixture withUnsettledPlaces() {
        Fixture f = before(LISTED);
        f.now += 1000;
        f.change(ListChangeCost.fleet(LISTED).get(7).withState(EndpointState.DRAINING));
        firstEndpoints(f, 1);
        f.now += 1;
        return f;
    }

    private static Endpoint named(String id) {
        return ListChangeCost.fleet(LISTED).stream()
                .filter(s -> s.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a cost of each change that grows with the list . */
    @Test
    void frequentChangesCostNoMoreInALongList() {
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 3; i++) {
            double few = ListChangeCost.change(500, 0.2, 1000);
            double many = ListChangeCost.change(5000, 0.2, 1000);
            least = Math.min(least, many / few);
        }
        assertTrue(least < 5, "ten times as many listed cost " + least + " times as much");
    }

    /** Guards against settling after changes that move no place. */
    @Test
    void changeThatMovesNoPlaceCostsNoMoreInALongList() {
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 3; i++) {
            double few = movesNoPlaceNs(500);
            least = Math.min(least, movesNoPlaceNs(5000) / few);
        }
        assertTrue(least < 5, "ten times as many listed cost " + least + " times as much");
    }

    private static double movesNoPlaceNs(int listed) {
        Fixture f = before(listed);
        List<Endpoint> fleet = ListChangeCost.fleet(listed);
        long began = 0;
        for (int i = 0; i < 1000; i++) {
            f.now += 1000;
            began = i == 500 ? ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() : began;
            Endpoint was = fleet.get(i % listed);
            f.change(new Endpoint(was.id(), was.zone(), 0, was.cell() + 1 + i, 0, EndpointState.READY, was.weight()));
        }
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - began;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8})
    void deltasLeadToTheSameStateAsOneSnapshot(int seed) {
        Random random = new Random(seed);
        Map<String, Endpoint> listed = new HashMap<>();
        ListChangeCost.fleet(LISTED).forEach(endpoint -> listed.put(endpoint.id(), endpoint));
        Fixture f = before(LISTED);
        for (int step = 0; step < 300; step++) {
            f.now += random.nextInt(12);
            List<Endpoint> changes = new ArrayList<>();
            for (int i = random.nextInt(random.nextInt(20) == 0 ? 60 : 3); i >= 0; i--) {
                Endpoint was = named("s-" + Integer.toHexString(random.nextInt(LISTED) * 7919 + 1));
                changes.add(new Endpoint(
                        was.id(),
                        random.nextInt(7),
                        0,
                        was.cell(),
                        random.nextInt(4) == 0 ? f.now - random.nextInt(1000) : 0,
                        EndpointState.values()[random.nextInt(3)],
                        1 + random.nextInt(3)));
            }
            changes.forEach(endpoint -> listed.put(endpoint.id(), endpoint));
            f.change(changes.toArray(Endpoint[]::new));
            if (random.nextBoolean()) {
                f.balancer.onTimer(f.now, NO_TIMER);
            }
        }
        f.now += ROUND_MS;
        f.balancer.onTimer(f.now, NO_TIMER);
        Fixture fresh = Fixture.of(LISTED, 3, 1);
        fresh.now = f.now;
        List<Endpoint> left = listed.values().stream()
                .filter(s -> s.state() != EndpointState.GONE)
                .toList();
        fresh.list(left);
        assertEquals(firstEndpoints(fresh, 250), firstEndpoints(f, 250));
        assertEquals(left.size(), f.balancer.knownEndpoints());
    }

    /** Whether an endpoint is ready counts at once. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "GONE"})
    void endpointThatLeavesWhilePlacesAreUnsettledGetsNoRequests(EndpointState state) {
        Fixture f = withUnsettledPlaces();
        Set<String> left = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            f.request(Fixture.IDEMPOTENT);
            String id = f.host.last().endpoint();
            assertFalse(left.contains(id), id + " has left");
            left.add(id);
            f.change(named(id).withState(state));
        }
    }

    @Test
    void endpointThatComesWhilePlacesAreUnsettledServesWithinARound() {
        Fixture f = withUnsettledPlaces();
        String first = firstEndpoints(f, 1).get(0);
        f.change(named(first).withState(EndpointState.DRAINING));
        f.change(named(first));
        f.now += ROUND_MS;
        assertTrue(firstEndpoints(f, 250).contains(first));
    }

    /** If all endpoints are replaced, the new ones must be used at once. */
    @Test
    void replacedFleetIsServedByItsSuccessors() {
        Fixture f = withUnsettledPlaces();
        List<Endpoint> changes = new ArrayList<>();
        for (Endpoint endpoint : ListChangeCost.fleet(LISTED)) {
            changes.add(endpoint.withState(EndpointState.GONE));
            changes.add(new Endpoint("n" + endpoint.id(), endpoint.zone(), 0, 0, 0, EndpointState.READY, 1));
        }
        f.change(changes.toArray(Endpoint[]::new));
        assertTrue(firstEndpoints(f, 100).stream().allMatch(id -> id.startsWith("n")));
    }

    /** New endpoints must be used at once while many leave: the remaining ones would be overloaded. */
    @Test
    void requestsAreNotLeftToTheLastEndpointsWhileSuccessorsWait() {
        Fixture f = withUnsettledPlaces();
        List<Endpoint> fleet = ListChangeCost.fleet(LISTED);
        for (int i = 2; i < LISTED; i++) {
            f.change(fleet.get(i).withState(EndpointState.GONE));
            f.change(new Endpoint("n" + i, i % 7, 0, 0, 0, EndpointState.READY, 1));
        }
        assertTrue(new HashSet<>(firstEndpoints(f, 60)).size() > 50);
    }

    /** Guards against a slot left in the old zone's index, which the refill then added for ever. */
    @Test
    void endpointMayBeListedInAnotherZone() {
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            Fixture f = Fixture.of(3, 0, 1).list(Fixture.endpoints(6));
            for (int i = 0; i < 6; i++) {
                f.change(new Endpoint("s" + i, 1 + i % 2, 0, 0, 0, EndpointState.READY, 1));
                f.now += ROUND_MS;
                assertNotEquals(0, firstEndpoints(f, 3).size());
            }
            assertEquals(18, f.host.started.size());
        });
    }
}
