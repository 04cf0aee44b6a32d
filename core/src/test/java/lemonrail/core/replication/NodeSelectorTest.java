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

/** Checks the selection of a control node on virtual time. */
class NodeSelectorTest {

    private static final List<String> WEST = List.of("w1", "w2", "w3");
    private static final List<String> EAST = List.of("e1", "e2", "e3");

    private static NodeSelector selector(int number) {
        return new NodeSelector("sidecar-" + number, WEST, EAST, number);
    }

    @Test
    void failureSelectsNextNodeAndOwnRegionFirst() {
        NodeSelector selector = selector(1);
        List<String> selected = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            selected.add(selector.currentNode());
            assertEquals(0, selector.onFailure(i));
        }
        selected.add(selector.currentNode());
        assertEquals(Set.copyOf(WEST), Set.copyOf(selected.subList(0, 3)));
        assertEquals(Set.copyOf(EAST), Set.copyOf(selected.subList(3, 6)));
        double backoffMs = selector.onFailure(6);
        assertTrue(backoffMs >= 50 && backoffMs <= 150, "backoff after all nodes have failed: " + backoffMs);
        assertEquals(selected.get(0), selector.currentNode());
    }

    @Test
    void backoffGrowsAndIsBounded() {
        NodeSelector selector = selector(1);
        double longestMs = 0;
        for (int i = 0; i < 200; i++) {
            longestMs = Math.max(longestMs, selector.onFailure(i));
        }
        assertTrue(longestMs > 500 && longestMs <= 1500, "longest backoff in ms: " + longestMs);
        selector.onResponse(300, 0);
        for (int i = 0; i < 5; i++) {
            assertEquals(0, selector.onFailure(301));
        }
        assertTrue(selector.onFailure(301) <= 150);
    }

    /** Guards against a recovered node to which all its watchers return at the same moment. */
    @Test
    void watchersReturnAtDifferentTimes() {
        List<Double> returnTimesMs = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            NodeSelector selector = selector(i);
            String preferred = selector.currentNode();
            selector.onFailure(0);
            assertNotEquals(preferred, selector.currentNode());
            double nowMs = 0;
            while (!selector.onResponse(nowMs, 0)) {
                nowMs += 100;
            }
            assertEquals(preferred, selector.currentNode());
            returnTimesMs.add(nowMs);
        }
        assertTrue(returnTimesMs.stream().allMatch(ms -> ms >= 30_000 && ms <= 60_100));
        var perSecond =
                returnTimesMs.stream().collect(Collectors.groupingBy(ms -> (int) (ms / 1000), Collectors.counting()));
        assertTrue(perSecond.values().stream().allMatch(count -> count <= 30), perSecond.toString());
    }

    /**
     * Guards against watchers that stay at a node of another region for a minute, as that region may be partitioned
     * from theirs.
     */
    @Test
    void watcherInAnotherRegionProbesOneNodeOfItsOwnAtATime() {
        NodeSelector selector = selector(1);
        for (int i = 0; i < 3; i++) {
            selector.onFailure(0);
        }
        String fallback = selector.currentNode();
        assertTrue(EAST.contains(fallback));
        List<String> probed = new ArrayList<>();
        double nowMs = 0;
        for (int i = 0; i < 3; i++) {
            double previousProbeMs = nowMs;
            while (!selector.onResponse(nowMs, 0)) {
                nowMs += 100;
            }
            assertTrue(nowMs - previousProbeMs >= NodeSelector.MIN_REGION_PROBE_MS
                    && nowMs - previousProbeMs <= NodeSelector.MAX_REGION_PROBE_MS + 100);
            probed.add(selector.currentNode());
            assertEquals(0, selector.onFailure(nowMs));
            assertEquals(fallback, selector.currentNode(), "a failed probe returns to the fallback node");
        }
        assertEquals(Set.copyOf(WEST), Set.copyOf(probed));
        while (!selector.onResponse(nowMs, 0)) {
            nowMs += 100;
        }
        String preferred = selector.currentNode();
        assertTrue(WEST.contains(preferred));
        assertFalse(selector.onResponse(nowMs + 1000, 0), "the watcher stays after a successful probe");
        assertEquals(preferred, selector.currentNode());
    }

    @Test
    void watcherMovesAwayFromStaleNode() {
        NodeSelector selector = selector(1);
        String preferred = selector.currentNode();
        assertFalse(selector.onResponse(0, NodeSelector.STALE_AFTER_MS));
        assertTrue(selector.onResponse(1000, NodeSelector.STALE_AFTER_MS + 1));
        assertNotEquals(preferred, selector.currentNode());
        assertFalse(
                selector.onResponse(2000, NodeSelector.STALE_AFTER_MS + 1),
                "no further move for a while if all nodes are stale");
        boolean moved = false;
        for (double nowMs = 2000; nowMs < 50_000 && !moved; nowMs += 1000) {
            moved = selector.onResponse(nowMs, NodeSelector.STALE_AFTER_MS + 1);
        }
        assertTrue(moved);
    }
}
