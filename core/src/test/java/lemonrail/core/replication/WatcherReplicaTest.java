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

/** What a watcher holds, and where it goes. */
class WatcherReplicaTest {

    private static final WatcherReplica.Key S1 = new WatcherReplica.Key("quote", "s1");
    private static final WatcherReplica.Key S2 = new WatcherReplica.Key("quote", "s2");
    private final WatcherReplica replica = new WatcherReplica();

    private static HybridTimestamp stamp(long ms, String origin) {
        return new HybridTimestamp(ms, 0, origin);
    }

    @Test
    void anOlderWordIsNoNewsNorAfterARemoval() {
        assertTrue(replica.take(S1, stamp(5, "a"), false));
        assertFalse(replica.take(S1, stamp(5, "a"), false));
        assertFalse(replica.take(S1, stamp(4, "b"), false));
        assertTrue(replica.take(S1, stamp(6, "a"), true));
        assertFalse(replica.take(S1, stamp(5, "b"), false));
        assertEquals(0, replica.digest());
        assertTrue(replica.take(S1, stamp(7, "b"), false));
    }

    /** Guards against a watcher that loses endpoints as it comes to a node that is behind. */
    @Test
    void aWholeListOfANodeThatIsBehindRemovesOnlyWhatItHasHeardOf() {
        replica.take(S1, stamp(5, "a"), false);
        replica.take(S2, stamp(9, "a"), false);
        assertEquals(List.of(S1), replica.keepOnly(List.of(), Map.of("a", stamp(8, "a"))));
        assertEquals(1, replica.size());
        assertEquals(List.of(S2), replica.keepOnly(List.of(), Map.of("a", stamp(9, "a"))));
        assertEquals(0, replica.digest());
    }

    @Test
    void removalsAreBounded() {
        for (int i = 0; i < 2 * WatcherReplica.MOST_REMOVED; i++) {
            WatcherReplica.Key key = new WatcherReplica.Key("quote", "s" + i);
            replica.take(key, stamp(5, "a"), false);
            replica.take(key, stamp(6, "a"), true);
        }
        WatcherReplica.Key last = new WatcherReplica.Key("quote", "s" + (2 * WatcherReplica.MOST_REMOVED - 1));
        assertFalse(replica.take(last, stamp(5, "a"), false));
        assertTrue(
                replica.take(new WatcherReplica.Key("quote", "s0"), stamp(5, "a"), false), "the oldest is forgotten");
    }

    @Test
    void stampsAreReadAsTheyAreTold() {
        HybridTimestamp stamp = new HybridTimestamp(1_790_000_000_000L, 3, "west.1");
        assertEquals(stamp, HybridTimestamp.parse(stamp.text()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "1", "1.2", "x.0.a", "1.x.a", "-1.0.a", "99999999999999999999.0.a"})
    void whatIsNoStampIsRefused(String text) {
        assertThrows(IllegalArgumentException.class, () -> HybridTimestamp.parse(text));
    }

    /** Each of six nodes gets its sixth, and a lost node's watchers go to all of the others. */
    @Test
    void watchersAreSpreadOverTheNodes() {
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
    void theOldestInForceAndWhoRefusedAreTold() {
        AppliedVersions inForce = new AppliedVersions();
        inForce.called(1000, new AppliedVersions.Word("one", "base", stamp(5, "a"), null, ""));
        inForce.called(1000, new AppliedVersions.Word("two", "base", stamp(7, "a"), null, ""));
        inForce.called(1001, new AppliedVersions.Word("three", "base", stamp(5, "a"), stamp(7, "a"), "no such class"));
        inForce.called(1001, new AppliedVersions.Word("four", "", HybridTimestamp.NONE, null, ""));
        AppliedVersions.Summary base = inForce.summaries(1002).get(0);
        assertEquals(3, base.watchers());
        assertEquals(stamp(5, "a"), base.oldest());
        assertEquals(List.of("one", "three"), base.oldestNames());
        assertEquals("no such class", base.refused().get(0).why());
        assertEquals(4, inForce.watchers(1002));
        inForce.called(
                1001 + AppliedVersions.SILENT_MS, new AppliedVersions.Word("two", "base", stamp(8, "a"), null, ""));
        assertEquals(
                List.of("three"),
                inForce.summaries(1001 + AppliedVersions.SILENT_MS).get(0).oldestNames());
    }
}
