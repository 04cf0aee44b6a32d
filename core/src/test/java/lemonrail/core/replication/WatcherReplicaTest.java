package lemonrail.core.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the replica of a watcher, timestamps, the order of nodes and the summaries of watcher reports. */
class WatcherReplicaTest {

    private static final WatcherReplica.Key S1 = new WatcherReplica.Key("quote", "s1");
    private static final WatcherReplica.Key S2 = new WatcherReplica.Key("quote", "s2");
    private final WatcherReplica replica = new WatcherReplica();

    private static HybridTimestamp timestamp(long timeMs, String origin) {
        return new HybridTimestamp(timeMs, 0, origin);
    }

    @Test
    void olderVersionIsIgnoredAlsoAfterRemoval() {
        assertTrue(replica.apply(S1, timestamp(5, "a"), false));
        assertFalse(replica.apply(S1, timestamp(5, "a"), false));
        assertFalse(replica.apply(S1, timestamp(4, "b"), false));
        assertTrue(replica.apply(S1, timestamp(6, "a"), true));
        assertFalse(replica.apply(S1, timestamp(5, "b"), false));
        assertEquals(0, replica.digest());
        assertTrue(replica.apply(S1, timestamp(7, "b"), false));
    }

    /** Guards against a watcher that loses endpoints when it moves to a node that lags behind. */
    @Test
    void fullSnapshotOfLaggingNodeRemovesOnlyEntriesItHasReceived() {
        replica.apply(S1, timestamp(5, "a"), false);
        replica.apply(S2, timestamp(9, "a"), false);
        assertEquals(List.of(S1), replica.retainListed(List.of(), Map.of("a", timestamp(8, "a"))));
        assertEquals(1, replica.size());
        assertEquals(List.of(S2), replica.retainListed(List.of(), Map.of("a", timestamp(9, "a"))));
        assertEquals(0, replica.digest());
    }

    @Test
    void tombstonesAreBounded() {
        for (int i = 0; i < 2 * WatcherReplica.MAX_TOMBSTONES; i++) {
            WatcherReplica.Key key = new WatcherReplica.Key("quote", "s" + i);
            replica.apply(key, timestamp(5, "a"), false);
            replica.apply(key, timestamp(6, "a"), true);
        }
        WatcherReplica.Key last = new WatcherReplica.Key("quote", "s" + (2 * WatcherReplica.MAX_TOMBSTONES - 1));
        assertFalse(replica.apply(last, timestamp(5, "a"), false));
        assertTrue(
                replica.apply(new WatcherReplica.Key("quote", "s0"), timestamp(5, "a"), false),
                "the oldest tombstone is dropped");
    }

    @Test
    void parsedTimestampEqualsEncodedTimestamp() {
        HybridTimestamp timestamp = new HybridTimestamp(1_790_000_000_000L, 3, "west.1");
        assertEquals(timestamp, HybridTimestamp.parse(timestamp.encode()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "1", "1.2", "x.0.a", "1.x.a", "-1.0.a", "99999999999999999999.0.a"})
    void malformedTimestampsAreRejected(String text) {
        assertThrows(IllegalArgumentException.class, () -> HybridTimestamp.parse(text));
    }

    /**
     * Each of six nodes is preferred by about a sixth of the watchers, and a failed node's watchers go to all others.
     */
    @Test
    void rendezvousOrderSpreadsWatchersOverNodes() {
        List<String> nodes = List.of("n1:1", "n2:1", "n3:1", "n4:1", "n5:1", "n6:1");
        Map<String, Integer> first = new HashMap<>();
        Map<String, Integer> second = new HashMap<>();
        for (int i = 0; i < 1200; i++) {
            List<String> order = RendezvousOrder.order("sidecar-" + i, nodes);
            assertEquals(6, order.size());
            first.merge(order.get(0), 1, Integer::sum);
            if (order.get(0).equals("n1:1")) {
                second.merge(order.get(1), 1, Integer::sum);
            }
        }
        assertEquals(6, first.size());
        first.values().forEach(count -> assertTrue(count > 140 && count < 260, first.toString()));
        assertEquals(5, second.size());
    }

    @Test
    void summariesContainOldestAppliedVersionAndRejections() {
        AppliedVersions appliedVersions = new AppliedVersions();
        appliedVersions.onReport(1000, new WatcherReport("one", "base", timestamp(5, "a"), null, ""));
        appliedVersions.onReport(1000, new WatcherReport("two", "base", timestamp(7, "a"), null, ""));
        appliedVersions.onReport(
                1001, new WatcherReport("three", "base", timestamp(5, "a"), timestamp(7, "a"), "no such class"));
        appliedVersions.onReport(1001, new WatcherReport("four", "", HybridTimestamp.NONE, null, ""));
        AppliedVersions.Summary base = appliedVersions.summaries(1002).get(0);
        assertEquals(3, base.watchers());
        assertEquals(timestamp(5, "a"), base.oldestApplied());
        assertEquals(List.of("one", "three"), base.oldestWatchers());
        assertEquals("no such class", base.rejections().get(0).rejectionReason());
        assertEquals(4, appliedVersions.watcherCount(1002));
        appliedVersions.onReport(
                1001 + AppliedVersions.WATCHER_TIMEOUT_MS,
                new WatcherReport("two", "base", timestamp(8, "a"), null, ""));
        assertEquals(
                List.of("three"),
                appliedVersions
                        .summaries(1001 + AppliedVersions.WATCHER_TIMEOUT_MS)
                        .get(0)
                        .oldestWatchers());
    }
}
