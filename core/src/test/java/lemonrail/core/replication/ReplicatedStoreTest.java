package lemonrail.core.replication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import lemonrail.core.replication.ReplicatedStore.Bounds;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Merging of entries between nodes, on virtual time. */
class ReplicatedStoreTest {

    private static final long T = 1_790_000_000_000L;
    private static final List<String> QUOTE = List.of("quote");

    /** A node whose replication delivers everything new at once. */
    private static final class Node {
        final String name;
        ReplicatedStore store;
        /** For each peer the version of it up to which its entries were received. */
        final Map<String, Long> receivedVersions = new HashMap<>();

        Node(String name, long nowMs) {
            this.name = name;
            store = new ReplicatedStore(name, Bounds.DEFAULT, nowMs);
        }

        Node ready() {
            store.markReady();
            return this;
        }

        /** Replicates everything new from another node. */
        void replicateFrom(long nowMs, Node other) {
            Long receivedVersion = receivedVersions.get(other.name);
            List<VersionedEntry> entries = receivedVersion == null
                    ? other.store.allEntries()
                    : other.store.entriesForPeerSince(name, receivedVersion);
            receivedVersions.put(other.name, other.store.currentVersion(nowMs));
            store.mergeAll(nowMs, entries, other.store.acknowledgedVersions(), other.name);
            store.markReady();
        }

        String body(String id) {
            VersionedEntry entry = store.get("quote", id);
            return entry == null ? null : entry.removed() ? "gone" : entry.body();
        }

        Node put(long nowMs, String id, String body) {
            assertEquals(MergeOutcome.APPLIED, store.write(nowMs, "quote", id, false, body));
            return this;
        }
    }

    @Test
    void aChangeReachesAllNodesAndIsNotEchoed() {
        Node a = new Node("a", T).ready().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.replicateFrom(T + 2, a);
        assertEquals("up", b.body("s1"));
        assertEquals(a.store.digest(QUOTE), b.store.digest(QUOTE));
        assertEquals(List.of(), b.store.entriesForPeerSince("a", 0), "not sent back to its sender");
        assertEquals(1, b.store.entriesForPeerSince("c", 0).size());
    }

    /** Guards against a drain that an older version undoes, when the two arrive by two paths. */
    @Test
    void anOlderVersionThatArrivesLaterIsSuperseded() {
        Node a = new Node("a", T).ready().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.replicateFrom(T + 2, a);
        b.put(T + 3, "s1", "drain");
        Node c = new Node("c", T);
        c.replicateFrom(T + 4, b);
        c.replicateFrom(T + 5, a);
        assertEquals("drain", c.body("s1"));
        a.replicateFrom(T + 6, b);
        assertEquals("drain", a.body("s1"));
        assertEquals(
                MergeOutcome.SUPERSEDED,
                c.store.writeAsOf(T + 7, T + 2, "quote", "s1", false, "up"),
                "nor by an operator's request that is repeated late");
        assertEquals("drain", c.body("s1"));
    }

    /** Guards against a late request that gets the timestamp of its arrival. */
    @Test
    void aBackdatedWriteThatArrivesBeforeTheNewerVersionLosesToIt() {
        Node a = new Node("a", T).ready().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.replicateFrom(T + 2, a);
        a.put(T + 5, "s1", "drain");
        assertEquals(MergeOutcome.APPLIED, b.store.writeAsOf(T + 9, T + 4, "quote", "s1", false, "up restarted"));
        b.replicateFrom(T + 10, a);
        a.replicateFrom(T + 10, b);
        assertEquals("drain", a.body("s1"));
        assertEquals("drain", b.body("s1"));
        assertEquals(a.store.digest(QUOTE), b.store.digest(QUOTE));
    }

    @Test
    void aRemovedEntryStaysRemovedAfterItsTombstoneExpired() {
        Node a = new Node("a", T).ready().put(T + 1, "s1", "up").put(T + 1, "s2", "up");
        Node late = new Node("late", T);
        late.replicateFrom(T + 2, a);
        Node b = new Node("b", T);
        b.replicateFrom(T + 2, a);
        assertEquals(MergeOutcome.APPLIED, a.store.write(T + 3, "quote", "s1", true, ""));
        b.replicateFrom(T + 4, a);
        assertEquals("gone", b.body("s1"));
        long tomorrow = T + 2 * Bounds.DEFAULT.tombstoneRetentionMs();
        b.store.expireTombstones(tomorrow);
        assertNull(b.body("s1"));
        b.replicateFrom(tomorrow, late);
        assertNull(b.body("s1"), "it is acknowledged as received");
        assertEquals("up", b.body("s2"));
    }

    @Test
    void partitionedRegionsAreMerged() {
        Node west = new Node("west", T).ready();
        for (int i = 0; i < 6; i++) {
            west.put(T, "s" + i, "up");
        }
        Node east = new Node("east", T);
        east.replicateFrom(T + 1, west);
        west.put(T + 10, "s1", "drain").put(T + 30, "s2", "drain");
        east.put(T + 20, "s1", "back").put(T + 20, "s2", "back").put(T + 21, "s9", "new");
        east.store.write(T + 22, "quote", "s3", true, "");
        long before = west.store.currentVersion(T + 100);
        west.replicateFrom(T + 180_000, east);
        east.replicateFrom(T + 180_001, west);
        for (Node node : List.of(west, east)) {
            assertEquals(
                    List.of("up", "back", "drain", "gone", "up", "up", "new"),
                    List.of("s0", "s1", "s2", "s3", "s4", "s5", "s9").stream()
                            .map(node::body)
                            .toList());
        }
        assertEquals(west.store.digest(QUOTE), east.store.digest(QUOTE));
        assertEquals(
                List.of("s1", "s3", "s9"),
                west.store.entriesSince(QUOTE, before).stream()
                        .map(VersionedEntry::id)
                        .sorted()
                        .toList(),
                "only what changed");
    }

    @Test
    void aNodeThatStartsEmptyIsNotReadyAndAcceptsNoWrites() {
        Node a = new Node("a", T);
        assertFalse(a.store.isReady());
        assertThrows(IllegalStateException.class, () -> a.store.write(T, "quote", "s1", false, "up"));
    }

    /** Guards against a full snapshot for each watcher that moves to a restarted node. */
    @Test
    void afterAnEmptyRestartVersionsContinueAndLittleIsResent() {
        Node a = new Node("a", T).ready();
        for (int i = 0; i < 100; i++) {
            a.put(T + i * 1000L, "s" + i, "up");
        }
        Node b = new Node("b", T);
        b.replicateFrom(T + 100_000, a);
        long servedVersion = b.store.currentVersion(T + 110_000);
        a.put(T + 111_000, "s7", "drain");
        // Restarts before the watcher arrives that resumes from the former version.
        Node restarted = new Node("b", T + 120_000);
        restarted.replicateFrom(T + 121_000, a);
        assertTrue(restarted.store.currentVersion(T + 121_000) > servedVersion, "it never decreases");
        assertEquals(
                List.of("s7"),
                restarted.store.entriesSince(QUOTE, ReplicatedStore.rewind(servedVersion, 10_000)).stream()
                        .map(VersionedEntry::id)
                        .toList());
    }

    /** Guards against own former writes that a restarted node would take for removed entries. */
    @Test
    void aRestartedNodeMergesItsOwnFormerWrites() {
        Node a = new Node("a", T).ready().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.replicateFrom(T + 2, a);
        Node restarted = new Node("a", T + 1000);
        restarted.replicateFrom(T + 1001, b);
        assertEquals("up", restarted.body("s1"));
        restarted.put(T + 1002, "s2", "up");
        b.receivedVersions.remove("a");
        b.replicateFrom(T + 1003, restarted);
        assertEquals("up", b.body("s2"));
    }

    @Test
    void versionsNeverDecreaseAndEachArrivalIsAboveTheServedVersion() {
        ReplicatedStore store = new ReplicatedStore("a", Bounds.DEFAULT, T);
        store.markReady();
        long servedVersion = store.currentVersion(T);
        for (int i = 0; i < 5000; i++) {
            assertEquals(MergeOutcome.APPLIED, store.write(T - i, "quote", "s" + i % 50, false, "v" + i));
            assertTrue(store.hasNewer(QUOTE, servedVersion), "also while the clock stands still or goes back");
            long version = store.currentVersion(T - i);
            assertTrue(version > servedVersion);
            servedVersion = version;
        }
        assertTrue(servedVersion < 1L << 53);
    }

    @Test
    void topicsEntriesAndTombstonesAreBounded() {
        Bounds bounds = new Bounds(2, 3, 2, 1000, 60_000);
        ReplicatedStore store = new ReplicatedStore("a", bounds, T);
        store.markReady();
        assertEquals(MergeOutcome.APPLIED, store.write(T, "one", "1", false, ""));
        assertEquals(MergeOutcome.APPLIED, store.write(T, "two", "1", false, ""));
        assertEquals(MergeOutcome.STORE_FULL, store.write(T, "three", "1", false, ""));
        assertEquals(MergeOutcome.APPLIED, store.write(T, "one", "2", false, ""));
        assertEquals(MergeOutcome.STORE_FULL, store.write(T, "one", "3", false, ""));
        assertEquals(
                1,
                store.mergeAll(
                                T,
                                List.of(new VersionedEntry("one", "4", new HybridTimestamp(T, 0, "b"), false, "")),
                                Map.of(),
                                "b")
                        .rejectedCount());
        assertEquals(MergeOutcome.APPLIED, store.write(T, "one", "1", false, "changed"), "a change needs no capacity");
        for (String id : List.of("1", "2")) {
            assertEquals(MergeOutcome.APPLIED, store.write(T, "one", id, true, ""));
        }
        assertEquals(MergeOutcome.APPLIED, store.write(T, "two", "1", true, ""));
        assertEquals(List.of(0, 2), List.of(store.liveCount(), store.tombstoneCount()));
    }

    @Test
    void aTimestampFarAheadIsRejected() {
        Node a = new Node("a", T).ready();
        assertEquals(
                1,
                a.store
                        .mergeAll(
                                T,
                                List.of(new VersionedEntry(
                                        "quote", "s1", new HybridTimestamp(T + 61_000, 0, "b"), false, "up")),
                                Map.of("b", new HybridTimestamp(T + 61_000, 0, "b")),
                                "b")
                        .rejectedCount());
        assertNull(a.body("s1"));
        assertEquals(Map.of(), a.store.acknowledgedVersions());
    }

    /** Whatever the path and order, nodes that have received everything hold the same. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nodesThatHaveReplicatedFromEachOtherAreEqual(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            nodes.add(new Node("n" + i, T));
        }
        nodes.get(0).ready();
        nodes.forEach(node -> node.replicateFrom(T, nodes.get(0)));
        WatcherReplica watcher = new WatcherReplica();
        for (int step = 0; step < 2000; step++) {
            long now = T + step * 3L;
            Node node = nodes.get(random.nextInt(nodes.size()));
            String id = "s" + random.nextInt(30);
            switch (random.nextInt(5)) {
                case 0 -> node.store.write(now, "quote", id, false, "v" + step);
                case 1 -> node.store.write(now, "quote", id, true, "");
                case 2 -> node.store.writeAsOf(now, now - random.nextInt(2000), "quote", id, false, "w" + step);
                default -> node.replicateFrom(now, nodes.get(random.nextInt(nodes.size())));
            }
            node.store
                    .entriesSince(QUOTE, ReplicatedStore.rewind(node.store.currentVersion(now), random.nextInt(500)))
                    .forEach(entry -> watcher.apply(
                            new WatcherReplica.Key("quote", entry.id()), entry.timestamp(), entry.removed()));
        }
        for (int round = 0; round < 3; round++) {
            nodes.forEach(node -> nodes.forEach(other -> node.replicateFrom(T + 10_000, other)));
        }
        Map<String, String> first = content(nodes.get(0));
        for (Node node : nodes) {
            assertEquals(first, content(node), node.name);
            assertEquals(nodes.get(0).store.digest(QUOTE), node.store.digest(QUOTE));
        }
        List<VersionedEntry> snapshot = nodes.get(3).store.liveEntries(QUOTE);
        snapshot.forEach(entry -> watcher.apply(new WatcherReplica.Key("quote", entry.id()), entry.timestamp(), false));
        watcher.retainListed(
                snapshot.stream()
                        .map(entry -> new WatcherReplica.Key("quote", entry.id()))
                        .toList(),
                nodes.get(3).store.acknowledgedVersions());
        assertEquals(nodes.get(1).store.digest(QUOTE), watcher.digest());
        assertEquals(snapshot.size(), watcher.size());
    }

    private static Map<String, String> content(Node node) {
        return node.store.liveEntries(QUOTE).stream()
                .collect(Collectors.toMap(
                        VersionedEntry::id,
                        entry -> entry.body() + entry.timestamp().encode()));
    }
}
