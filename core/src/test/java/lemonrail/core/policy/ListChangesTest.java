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

/** Changes of a long list: what they cost, what is in force at once, and where they lead in the end. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ListChangesTest {

    private static final int LISTED = 400;
    /** Half of the connect time-out in the fixture's settings. */
    private static final double PAUSE_MS = 100;
    /** A timer that nothing is asked for by: it only lets time be seen to pass. */
    private static final long NO_TIMER = 99;

    private static List<String> firstServers(Fixture f, int calls) {
        List<String> servers = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            f.request(Fixture.IDEMPOTENT);
            servers.add(f.host.last().server());
        }
        return servers;
    }

    private static Fixture before(int listed) {
        return Fixture.of(listed, 3, 1).list(ListChangeCost.fleet(listed));
    }

    /** In the pause after a change, when places are not settled yet. */
    private static Fixture inAStorm() {
        Fixture f = before(LISTED);
        f.now += 1000;
        f.change(ListChangeCost.fleet(LISTED).get(7).withState(EndpointState.DRAINING));
        firstServers(f, 1);
        f.now += 1;
        return f;
    }

    private static Endpoint named(String id) {
        return ListChangeCost.fleet(LISTED).stream()
                .filter(s -> s.id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a cost of each change that grows with the list (before: 16 times here). */
    @Test
    void aChangeInAStormCostsNoMoreInALongList() {
        double least = Double.POSITIVE_INFINITY;
        for (int i = 0; i < 3; i++) {
            double few = ListChangeCost.change(500, 0.2, 1000);
            double many = ListChangeCost.change(5000, 0.2, 1000);
            least = Math.min(least, many / few);
        }
        assertTrue(least < 5, "ten times as many listed cost " + least + " times as much");
    }

    /** What moves no place is settled by nothing, though far apart (before: as any change). */
    @Test
    void aChangeThatMovesNoPlaceCostsNoMoreInALongList() {
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
    void afterAPauseAllIsAsIfTheListHadComeAtOnce(int seed) {
        Random random = new Random(seed);
        Map<String, Endpoint> listed = new HashMap<>();
        ListChangeCost.fleet(LISTED).forEach(server -> listed.put(server.id(), server));
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
            changes.forEach(server -> listed.put(server.id(), server));
            f.change(changes.toArray(Endpoint[]::new));
            if (random.nextBoolean()) {
                f.balancer.onTimer(f.now, NO_TIMER);
            }
        }
        f.now += PAUSE_MS;
        f.balancer.onTimer(f.now, NO_TIMER);
        Fixture fresh = Fixture.of(LISTED, 3, 1);
        fresh.now = f.now;
        List<Endpoint> left = listed.values().stream()
                .filter(s -> s.state() != EndpointState.GONE)
                .toList();
        fresh.list(left);
        assertEquals(firstServers(fresh, 250), firstServers(f, 250));
        assertEquals(left.size(), f.balancer.knownEndpoints());
    }

    /** What rules rest on doesn't wait for the pause. */
    @ParameterizedTest
    @ValueSource(strings = {"DRAINING", "GONE"})
    void whoLeavesInAStormGetsNothingMoreInTheSameTurn(EndpointState state) {
        Fixture f = inAStorm();
        Set<String> left = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            f.request(Fixture.IDEMPOTENT);
            String id = f.host.last().server();
            assertFalse(left.contains(id), id + " has left");
            left.add(id);
            f.change(named(id).withState(state));
        }
    }

    @Test
    void whoReturnsOrStartsInAStormServesWithinAPause() {
        Fixture f = inAStorm();
        String first = firstServers(f, 1).get(0);
        f.change(named(first).withState(EndpointState.DRAINING));
        f.change(named(first));
        f.now += PAUSE_MS;
        assertTrue(firstServers(f, 250).contains(first));
    }

    /** When all are replaced at once, the new ones are there at once: nothing else is. */
    @Test
    void aFleetReplacedInAStormIsServedByItsSuccessors() {
        Fixture f = inAStorm();
        List<Endpoint> changes = new ArrayList<>();
        for (Endpoint server : ListChangeCost.fleet(LISTED)) {
            changes.add(server.withState(EndpointState.GONE));
            changes.add(new Endpoint("n" + server.id(), server.zone(), 0, 0, 0, EndpointState.READY, 1));
        }
        f.change(changes.toArray(Endpoint[]::new));
        assertTrue(firstServers(f, 100).stream().allMatch(id -> id.startsWith("n")));
    }

    /** A few that come while many leave must not have to wait for the pause: those left would be crowded. */
    @Test
    void callsAreNotLeftToTheLastOnesWhileSuccessorsWait() {
        Fixture f = inAStorm();
        List<Endpoint> fleet = ListChangeCost.fleet(LISTED);
        for (int i = 2; i < LISTED; i++) {
            f.change(fleet.get(i).withState(EndpointState.GONE));
            f.change(new Endpoint("n" + i, i % 7, 0, 0, 0, EndpointState.READY, 1));
        }
        assertTrue(new HashSet<>(firstServers(f, 60)).size() > 50);
    }

    /** Guards against a slot left in the old zone's index, which refilling then took up for ever. */
    @Test
    void aServerMayBeToldToBeInAnotherZone() {
        assertTimeoutPreemptively(Duration.ofSeconds(20), () -> {
            Fixture f = Fixture.of(3, 0, 1).list(Fixture.servers(6));
            for (int i = 0; i < 6; i++) {
                f.change(new Endpoint("s" + i, 1 + i % 2, 0, 0, 0, EndpointState.READY, 1));
                f.now += PAUSE_MS;
                assertNotEquals(0, firstServers(f, 3).size());
            }
            assertEquals(18, f.host.sent.size());
        });
    }
}
