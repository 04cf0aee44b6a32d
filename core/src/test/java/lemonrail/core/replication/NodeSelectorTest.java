package lemonrail.core.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Where a watcher goes, on virtual time. */
class NodeSelectorTest {

    private static final List<String> WEST = List.of("w1", "w2", "w3");
    private static final List<String> EAST = List.of("e1", "e2", "e3");

    private static NodeSelector route(int number) {
        return new NodeSelector("sidecar-" + number, WEST, EAST, number);
    }

    @Test
    void theNextNodeIsAskedAtOnceAndTheOwnRegionFirst() {
        NodeSelector route = route(1);
        List<String> asked = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            asked.add(route.current());
            assertEquals(0, route.failed(i));
        }
        asked.add(route.current());
        assertEquals(Set.copyOf(WEST), Set.copyOf(asked.subList(0, 3)));
        assertEquals(Set.copyOf(EAST), Set.copyOf(asked.subList(3, 6)));
        double pause = route.failed(6);
        assertTrue(pause >= 50 && pause <= 150, "all have failed: " + pause);
        assertEquals(asked.get(0), route.current());
    }

    @Test
    void pausesGrowAndAreBounded() {
        NodeSelector route = route(1);
        double longest = 0;
        for (int i = 0; i < 200; i++) {
            longest = Math.max(longest, route.failed(i));
        }
        assertTrue(longest > 500 && longest <= 1500, "longest " + longest);
        route.answered(300, 0);
        for (int i = 0; i < 5; i++) {
            assertEquals(0, route.failed(301));
        }
        assertTrue(route.failed(301) <= 150);
    }

    /** Guards against a node that is back and gets all its watchers at one instant. */
    @Test
    void watchersComeBackSpreadOverTime() {
        List<Double> back = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            NodeSelector route = route(i);
            String home = route.current();
            route.failed(0);
            assertNotEquals(home, route.current());
            double now = 0;
            while (!route.answered(now, 0)) {
                now += 100;
            }
            assertEquals(home, route.current());
            back.add(now);
        }
        assertTrue(back.stream().allMatch(at -> at >= 30_000 && at <= 60_100));
        var perSecond = back.stream().collect(Collectors.groupingBy(at -> (int) (at / 1000), Collectors.counting()));
        assertTrue(perSecond.values().stream().allMatch(count -> count <= 30), perSecond.toString());
    }

    /** Guards against watchers that stay in another region, which then may lose theirs, for a minute. */
    @Test
    void aWatcherInAnotherRegionLooksAtItsOwnSoonAndOneNodeAtATime() {
        NodeSelector route = route(1);
        for (int i = 0; i < 3; i++) {
            route.failed(0);
        }
        String abroad = route.current();
        assertTrue(EAST.contains(abroad));
        List<String> looked = new ArrayList<>();
        double now = 0;
        for (int i = 0; i < 3; i++) {
            double since = now;
            while (!route.answered(now, 0)) {
                now += 100;
            }
            assertTrue(now - since >= NodeSelector.LEAST_ABROAD_MS && now - since <= NodeSelector.MOST_ABROAD_MS + 100);
            looked.add(route.current());
            assertEquals(0, route.failed(now));
            assertEquals(abroad, route.current(), "it goes on where it was");
        }
        assertEquals(Set.copyOf(WEST), Set.copyOf(looked));
        while (!route.answered(now, 0)) {
            now += 100;
        }
        String home = route.current();
        assertTrue(WEST.contains(home));
        assertFalse(route.answered(now + 1000, 0), "it stays");
        assertEquals(home, route.current());
    }

    @Test
    void aNodeThatHearsNothingNewIsLeftForAnother() {
        NodeSelector route = route(1);
        String home = route.current();
        assertFalse(route.answered(0, NodeSelector.STALE_MS));
        assertTrue(route.answered(1000, NodeSelector.STALE_MS + 1));
        assertNotEquals(home, route.current());
        assertFalse(route.answered(2000, NodeSelector.STALE_MS + 1), "where all are so it stays for a while");
        boolean moved = false;
        for (double now = 2000; now < 50_000 && !moved; now += 1000) {
            moved = route.answered(now, NodeSelector.STALE_MS + 1);
        }
        assertTrue(moved);
    }
}
