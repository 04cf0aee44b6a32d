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

/** Checks the merging of entries between nodes on virtual time. */
class ReplicatedStoreTest {

    private static final long START_MS = 1_790_000_000_000L;
    private static final List<String> QUOTE_TOPIC = List.of("quote");

    /** A control node whose replication delivers all new entries immediately. */
    private static final class Node {
        final String name;
        ReplicatedStore store;
        /** For each peer, its version up to which its entries were received. */
        final Map<String, Long> receivedVersions = new HashMap<>();

        Node(String name, long nowMs) {
            this.name = name;
            store = new ReplicatedStore(name, Bounds.DEFAULT, nowMs);
        }

        Node ready() {
            store.markReady();
            return this;
        }

        /** Replicates all new entries from another node. */
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
    void changeReachesAllNodesAndIsNotSentBack() {
        Node a = new Node("a", START_MS).ready().put(START_MS + 1, "s1", "up");
        Node b = new Node("b", START_MS);
        b.replicateFrom(START_MS + 2, a);
        assertEquals("up", b.body("s1"));
        assertEquals(a.store.digest(QUOTE_TOPIC), b.store.digest(QUOTE_TOPIC));
        assertEquals(List.of(), b.store.entriesForPeerSince("a", 0), "entries are not sent back to their sender");
        assertEquals(1, b.store.entriesForPeerSince("c", 0).size());
    }

    /** Guards against a drain that is undone by an older version, when the two arrive from different nodes. */
    @Test
    void olderVersionThatArrivesLaterIsSuperseded() {
        Node a = new Node("a", START_MS).ready().put(START_MS + 1, "s1", "up");
        Node b = new Node("b", START_MS);
        b.replicateFrom(START_MS + 2, a);
        b.put(START_MS + 3, "s1", "drain");
        Node c = new Node("c", START_MS);
        c.replicateFrom(START_MS + 4, b);
        c.replicateFrom(START_MS + 5, a);
        assertEquals("drain", c.body("s1"));
        a.replicateFrom(START_MS + 6, b);
        assertEquals("drain", a.body("s1"));
        assertEquals(
                MergeOutcome.SUPERSEDED,
                c.store.writeAsOf(START_MS + 7, START_MS + 2, "quote", "s1", false, "up"),
                "a late repetition of an operator's request does not undo the drain either");
        assertEquals("drain", c.body("s1"));
    }

    /** Guards against a delayed request that gets the timestamp of its arrival. */
    @Test
    void backdatedWriteLosesToNewerVersionThatArrivesLater() {
        Node a = new Node("a", START_MS).ready().put(START_MS + 1, "s1", "up");
        Node b = new Node("b", START_MS);
        b.replicateFrom(START_MS + 2, a);
        a.put(START_MS + 5, "s1", "drain");
        assertEquals(
                MergeOutcome.APPLIED,
                b.store.writeAsOf(START_MS + 9, START_MS + 4, "quote", "s1", false, "up restarted"));
        b.replicateFrom(START_MS + 10, a);
        a.replicateFrom(START_MS + 10, b);
        assertEquals("drain", a.body("s1"));
        assertEquals("drain", b.body("s1"));
        assertEquals(a.store.digest(QUOTE_TOPIC), b.store.digest(QUOTE_TOPIC));
    }

    @Test
    void removedEntryStaysRemovedAfterTombstoneExpires() {
        Node a = new Node("a", START_MS).ready().put(START_MS + 1, "s1", "up").put(START_MS + 1, "s2", "up");
        Node laggingNode = new Node("late", START_MS);
        laggingNode.replicateFrom(START_MS + 2, a);
        Node b = new Node("b", START_MS);
        b.replicateFrom(START_MS + 2, a);
        assertEquals(MergeOutcome.APPLIED, a.store.write(START_MS + 3, "quote", "s1", true, ""));
        b.replicateFrom(START_MS + 4, a);
        assertEquals("gone", b.body("s1"));
        long afterRetentionMs = START_MS + 2 * Bounds.DEFAULT.tombstoneRetentionMs();
        b.store.expireTombstones(afterRetentionMs);
        assertNull(b.body("s1"));
        b.replicateFrom(afterRetentionMs, laggingNode);
        assertNull(b.body("s1"), "the removed version is already acknowledged");
        assertEquals("up", b.body("s2"));
    }

    @Test
    void partitionedRegionsAreMerged() {
        Node west = new Node("west", START_MS).ready();
        for (int i = 0; i < 6; i++) {
            west.put(START_MS, "s" + i, "up");
        }
        Node east = new Node("east", START_MS);
        east.replicateFrom(START_MS + 1, west);
        west.put(START_MS + 10, "s1", "drain").put(START_MS + 30, "s2", "drain");
        east.put(START_MS + 20, "s1", "back").put(START_MS + 20, "s2", "back").put(START_MS + 21, "s9", "new");
        east.store.write(START_MS + 22, "quote", "s3", true, "");
        long versionBefore = west.store.currentVersion(START_MS + 100);
        west.replicateFrom(START_MS + 180_000, east);
        east.replicateFrom(START_MS + 180_001, west);
        for (Node node : List.of(west, east)) {
            assertEquals(
                    List.of("up", "back", "drain", "gone", "up", "up", "new"),
                    List.of("s0", "s1", "s2", "s3", "s4", "s5", "s9").stream()
                            .map(node::body)
                            .toList());
        }
        assertEquals(west.store.digest(QUOTE_TOPIC), east.store.digest(QUOTE_TOPIC));
        assertEquals(
                List.of("s1", "s3", "s9"),
                west.store.entriesSince(QUOTE_TOPIC, versionBefore).stream()
                        .map(VersionedEntry::id)
                        .sorted()
                        .toList(),
                "only changed entries are newer");
    }

    @Test
    void emptyNodeIsNotReadyAndAcceptsNoWrites() {
        Node a = new Node("a", START_MS);
        assertFalse(a.store.isReady());
        assertThrows(IllegalStateException.class, () -> a.store.write(START_MS, "quote", "s1", false, "up"));
    }

    /** Guards against sending a full snapshot to each watcher that moves to a restarted node. */
    @Test
    void versionsContinueAfterEmptyRestartAndOnlyChangesAreResent() {
        Node a = new Node("a", START_MS).ready();
        for (int i = 0; i < 100; i++) {
            a.put(START_MS + i * 1000L, "s" + i, "up");
        }
        Node b = new Node("b", START_MS);
        b.replicateFrom(START_MS + 100_000, a);
        long servedVersion = b.store.currentVersion(START_MS + 110_000);
        a.put(START_MS + 111_000, "s7", "drain");
        // The node restarts before a watcher connects that resumes from the earlier version.
        Node restarted = new Node("b", START_MS + 120_000);
        restarted.replicateFrom(START_MS + 121_000, a);
        assertTrue(
                restarted.store.currentVersion(START_MS + 121_000) > servedVersion,
                "the version does not decrease over a restart");
        assertEquals(
                List.of("s7"),
                restarted.store.entriesSince(QUOTE_TOPIC, ReplicatedStore.rewind(servedVersion, 10_000)).stream()
                        .map(VersionedEntry::id)
                        .toList());
    }

    /** Guards against a restarted node that takes its own earlier writes for removed entries. */
    @Test
    void restartedNodeMergesItsOwnEarlierWrites() {
        Node a = new Node("a", START_MS).ready().put(START_MS + 1, "s1", "up");
        Node b = new Node("b", START_MS);
        b.replicateFrom(START_MS + 2, a);
        Node restarted = new Node("a", START_MS + 1000);
        restarted.replicateFrom(START_MS + 1001, b);
        assertEquals("up", restarted.body("s1"));
        restarted.put(START_MS + 1002, "s2", "up");
        b.receivedVersions.remove("a");
        b.replicateFrom(START_MS + 1003, restarted);
        assertEquals("up", b.body("s2"));
    }

    @Test
    void versionsNeverDecreaseAndArrivalsAreAboveServedVersion() {
        ReplicatedStore store = new ReplicatedStore("a", Bounds.DEFAULT, START_MS);
        store.markReady();
        long servedVersion = store.currentVersion(START_MS);
        for (int i = 0; i < 5000; i++) {
            assertEquals(MergeOutcome.APPLIED, store.write(START_MS - i, "quote", "s" + i % 50, false, "v" + i));
            assertTrue(
                    store.hasNewer(QUOTE_TOPIC, servedVersion),
                    "new entries are newer while the clock stands still or goes back");
            long version = store.currentVersion(START_MS - i);
            assertTrue(version > servedVersion);
            servedVersion = version;
        }
        assertTrue(servedVersion < 1L << 53);
    }

    @Test
    void topicsEntriesAndTombstonesAreBounded() {
        Bounds bounds = new Bounds(2, 3, 2, 1000, 60_000);
        ReplicatedStore store = new ReplicatedStore("a", bounds, START_MS);
        store.markReady();
        assertEquals(MergeOutcome.APPLIED, store.write(START_MS, "one", "1", false, ""));
        assertEquals(MergeOutcome.APPLIED, store.write(START_MS, "two", "1", false, ""));
        assertEquals(MergeOutcome.STORE_FULL, store.write(START_MS, "three", "1", false, ""));
        assertEquals(MergeOutcome.APPLIED, store.write(START_MS, "one", "2", false, ""));
        assertEquals(MergeOutcome.STORE_FULL, store.write(START_MS, "one", "3", false, ""));
        assertEquals(
                1,
                store.mergeAll(
                                START_MS,
                                List.of(new VersionedEntry(
                                        "one", "4", new HybridTimestamp(START_MS, 0, "b"), false, "")),
                                Map.of(),
                                "b")
                        .rejectedCount());
        assertEquals(
                MergeOutcome.APPLIED,
                store.write(START_MS, "one", "1", false, "changed"),
                "a change of an existing entry needs no capacity");
        for (String id : List.of("1", "2")) {
            assertEquals(MergeOutcome.APPLIED, store.write(START_MS, "one", id, true, ""));
        }
        assertEquals(MergeOutcome.APPLIED, store.write(START_MS, "two", "1", true, ""));
        assertEquals(List.of(0, 2), List.of(store.liveCount(), store.tombstoneCount()));
    }

    @Test
    void timestampFarAheadIsRejected() {
        Node a = new Node("a", START_MS).ready();
        assertEquals(
                1,
                a.store
                        .mergeAll(
                                START_MS,
                                List.of(new VersionedEntry(
                                        "quote", "s1", new HybridTimestamp(START_MS + 61_000, 0, "b"), false, "up")),
                                Map.of("b", new HybridTimestamp(START_MS + 61_000, 0, "b")),
                                "b")
                        .rejectedCount());
        assertNull(a.body("s1"));
        assertEquals(Map.of(), a.store.acknowledgedVersions());
    }

    /** Nodes that have received all versions have equal content, whatever the order and paths of replication. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nodesConvergeWhateverTheOrderOfReplication(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            nodes.add(new Node("n" + i, START_MS));
        }
        nodes.get(0).ready();
        nodes.forEach(node -> node.replicateFrom(START_MS, nodes.get(0)));
        WatcherReplica watcher = new WatcherReplica();
        for (int step = 0; step < 2000; step++) {
            long nowMs = START_MS + step * 3L;
            Node node = nodes.get(random.nextInt(nodes.size()));
            String id = "s" + random.nextInt(30);
            switch (random.nextInt(5)) {
                case 0 -> node.store.write(nowMs, "quote", id, false, "v" + step);
                case 1 -> node.store.write(nowMs, "quote", id, true, "");
                case 2 -> node.store.writeAsOf(nowMs, nowMs - random.nextInt(2000), "quote", id, false, "w" + step);
                default -> node.replicateFrom(nowMs, nodes.get(random.nextInt(nodes.size())));
            }
            node.store
                    .entriesSince(
                            QUOTE_TOPIC, ReplicatedStore.rewind(node.store.currentVersion(nowMs), random.nextInt(500)))
                    .forEach(entry -> watcher.apply(
                            new WatcherReplica.Key("quote", entry.id()), entry.timestamp(), entry.removed()));
        }
        for (int round = 0; round < 3; round++) {
            nodes.forEach(node -> nodes.forEach(other -> node.replicateFrom(START_MS + 10_000, other)));
        }
        Map<String, String> expectedContent = content(nodes.get(0));
        for (Node node : nodes) {
            assertEquals(expectedContent, content(node), node.name);
            assertEquals(nodes.get(0).store.digest(QUOTE_TOPIC), node.store.digest(QUOTE_TOPIC));
        }
        List<VersionedEntry> snapshot = nodes.get(3).store.liveEntries(QUOTE_TOPIC);
        snapshot.forEach(entry -> watcher.apply(new WatcherReplica.Key("quote", entry.id()), entry.timestamp(), false));
        watcher.retainListed(
                snapshot.stream()
                        .map(entry -> new WatcherReplica.Key("quote", entry.id()))
                        .toList(),
                nodes.get(3).store.acknowledgedVersions());
        assertEquals(nodes.get(1).store.digest(QUOTE_TOPIC), watcher.digest());
        assertEquals(snapshot.size(), watcher.size());
    }

    private static Map<String, String> content(Node node) {
        return node.store.liveEntries(QUOTE_TOPIC).stream()
                .collect(Collectors.toMap(
                        VersionedEntry::id,
                        entry -> entry.body() + entry.timestamp().encode()));
    }
}
