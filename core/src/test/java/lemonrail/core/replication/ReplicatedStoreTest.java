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
import lemonrail.core.replication.ReplicatedStore.Taken;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The merge of what nodes know, on virtual time. */
class ReplicatedStoreTest {

    private static final long T = 1_790_000_000_000L;
    private static final List<String> QUOTE = List.of("quote");

    /** A node with its links, which bring all that is new at once. */
    private static final class Node {
        final String name;
        ReplicatedStore state;
        /** Up to where each other node was heard, in its versions. */
        final Map<String, Long> upTo = new HashMap<>();

        Node(String name, long nowMs) {
            this.name = name;
            state = new ReplicatedStore(name, Bounds.USUAL, nowMs);
        }

        Node begun() {
            state.begin();
            return this;
        }

        /** Hears all that is new at another node. */
        void hear(long nowMs, Node other) {
            Long known = upTo.get(other.name);
            List<VersionedEntry> items =
                    known == null ? other.state.everything() : other.state.sinceForPeer(name, known);
            upTo.put(other.name, other.state.version(nowMs));
            state.takeAll(nowMs, items, other.state.heard(), other.name);
            state.begin();
        }

        String said(String id) {
            VersionedEntry item = state.get("quote", id);
            return item == null ? null : item.gone() ? "gone" : item.body();
        }

        Node put(long nowMs, String id, String body) {
            assertEquals(Taken.NEWS, state.accept(nowMs, "quote", id, false, body));
            return this;
        }
    }

    @Test
    void aChangeGoesToAllAndComesBackToNobody() {
        Node a = new Node("a", T).begun().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.hear(T + 2, a);
        assertEquals("up", b.said("s1"));
        assertEquals(a.state.digest(QUOTE), b.state.digest(QUOTE));
        assertEquals(List.of(), b.state.sinceForPeer("a", 0), "not told to the one who told it");
        assertEquals(1, b.state.sinceForPeer("c", 0).size());
    }

    /** Guards against a drain that an older word undoes, when the two come by two ways. */
    @Test
    void anOlderWordThatComesLaterChangesNothing() {
        Node a = new Node("a", T).begun().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.hear(T + 2, a);
        b.put(T + 3, "s1", "drain");
        Node c = new Node("c", T);
        c.hear(T + 4, b);
        c.hear(T + 5, a);
        assertEquals("drain", c.said("s1"));
        a.hear(T + 6, b);
        assertEquals("drain", a.said("s1"));
        assertEquals(
                Taken.OLDER,
                c.state.acceptAsOf(T + 7, T + 2, "quote", "s1", false, "up"),
                "nor by an operator's call that is repeated late");
        assertEquals("drain", c.said("s1"));
    }

    /** Guards against a late call that is stamped with the time of its arrival. */
    @Test
    void aLateCallThatCameBeforeTheNewerWordGivesWayToIt() {
        Node a = new Node("a", T).begun().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.hear(T + 2, a);
        a.put(T + 5, "s1", "drain");
        assertEquals(Taken.NEWS, b.state.acceptAsOf(T + 9, T + 4, "quote", "s1", false, "up again"));
        b.hear(T + 10, a);
        a.hear(T + 10, b);
        assertEquals("drain", a.said("s1"));
        assertEquals("drain", b.said("s1"));
        assertEquals(a.state.digest(QUOTE), b.state.digest(QUOTE));
    }

    @Test
    void whatWasRemovedStaysRemovedAlsoWhenTheRemovalIsForgotten() {
        Node a = new Node("a", T).begun().put(T + 1, "s1", "up").put(T + 1, "s2", "up");
        Node late = new Node("late", T);
        late.hear(T + 2, a);
        Node b = new Node("b", T);
        b.hear(T + 2, a);
        assertEquals(Taken.NEWS, a.state.accept(T + 3, "quote", "s1", true, ""));
        b.hear(T + 4, a);
        assertEquals("gone", b.said("s1"));
        long tomorrow = T + 2 * Bounds.USUAL.removedMs();
        b.state.expire(tomorrow);
        assertNull(b.said("s1"));
        b.hear(tomorrow, late);
        assertNull(b.said("s1"), "it is known that it was heard");
        assertEquals("up", b.said("s2"));
    }

    @Test
    void regionsThatWereApartAreMerged() {
        Node west = new Node("west", T).begun();
        for (int i = 0; i < 6; i++) {
            west.put(T, "s" + i, "up");
        }
        Node east = new Node("east", T);
        east.hear(T + 1, west);
        west.put(T + 10, "s1", "drain").put(T + 30, "s2", "drain");
        east.put(T + 20, "s1", "back").put(T + 20, "s2", "back").put(T + 21, "s9", "new");
        east.state.accept(T + 22, "quote", "s3", true, "");
        long before = west.state.version(T + 100);
        west.hear(T + 180_000, east);
        east.hear(T + 180_001, west);
        for (Node node : List.of(west, east)) {
            assertEquals(
                    List.of("up", "back", "drain", "gone", "up", "up", "new"),
                    List.of("s0", "s1", "s2", "s3", "s4", "s5", "s9").stream()
                            .map(node::said)
                            .toList());
        }
        assertEquals(west.state.digest(QUOTE), east.state.digest(QUOTE));
        assertEquals(
                List.of("s1", "s3", "s9"),
                west.state.since(QUOTE, before).stream()
                        .map(VersionedEntry::id)
                        .sorted()
                        .toList(),
                "only what changed, no jump");
    }

    @Test
    void aNodeThatStartsFromNothingTellsNobodyAndTakesNothing() {
        Node a = new Node("a", T);
        assertFalse(a.state.isReady());
        assertThrows(IllegalStateException.class, () -> a.state.accept(T, "quote", "s1", false, "up"));
    }

    /** Guards against a whole list for everybody who comes to a node that has restarted. */
    @Test
    void afterARestartFromNothingVersionsGoOnAndLittleIsSentAgain() {
        Node a = new Node("a", T).begun();
        for (int i = 0; i < 100; i++) {
            a.put(T + i * 1000L, "s" + i, "up");
        }
        Node b = new Node("b", T);
        b.hear(T + 100_000, a);
        long told = b.state.version(T + 110_000);
        a.put(T + 111_000, "s7", "drain");
        // Comes up anew, before the watcher that knows the other's version.
        Node again = new Node("b", T + 120_000);
        again.hear(T + 121_000, a);
        assertTrue(again.state.version(T + 121_000) > told, "it never goes back");
        assertEquals(
                List.of("s7"),
                again.state.since(QUOTE, ReplicatedStore.back(told, 10_000)).stream()
                        .map(VersionedEntry::id)
                        .toList());
    }

    /** Guards against words of its own that a restarted node would take for removed ones. */
    @Test
    void aRestartedNodeTakesItsOwnFormerWords() {
        Node a = new Node("a", T).begun().put(T + 1, "s1", "up");
        Node b = new Node("b", T);
        b.hear(T + 2, a);
        Node again = new Node("a", T + 1000);
        again.hear(T + 1001, b);
        assertEquals("up", again.said("s1"));
        again.put(T + 1002, "s2", "up");
        b.upTo.remove("a");
        b.hear(T + 1003, again);
        assertEquals("up", b.said("s2"));
    }

    @Test
    void versionsNeverGoBackAndEachArrivalIsAboveWhatWasTold() {
        ReplicatedStore state = new ReplicatedStore("a", Bounds.USUAL, T);
        state.begin();
        long told = state.version(T);
        for (int i = 0; i < 5000; i++) {
            assertEquals(Taken.NEWS, state.accept(T - i, "quote", "s" + i % 50, false, "v" + i));
            assertTrue(state.hasNewer(QUOTE, told), "also where the clock stands or goes back");
            long version = state.version(T - i);
            assertTrue(version > told);
            told = version;
        }
        assertTrue(told < 1L << 53);
    }

    @Test
    void everythingIsBounded() {
        Bounds bounds = new Bounds(2, 3, 2, 1000, 60_000);
        ReplicatedStore state = new ReplicatedStore("a", bounds, T);
        state.begin();
        assertEquals(Taken.NEWS, state.accept(T, "one", "1", false, ""));
        assertEquals(Taken.NEWS, state.accept(T, "two", "1", false, ""));
        assertEquals(Taken.FULL, state.accept(T, "three", "1", false, ""));
        assertEquals(Taken.NEWS, state.accept(T, "one", "2", false, ""));
        assertEquals(Taken.FULL, state.accept(T, "one", "3", false, ""));
        assertEquals(
                1,
                state.takeAll(
                                T,
                                List.of(new VersionedEntry("one", "4", new HybridTimestamp(T, 0, "b"), false, "")),
                                Map.of(),
                                "b")
                        .refused());
        assertEquals(Taken.NEWS, state.accept(T, "one", "1", false, "changed"), "a change needs no room");
        for (String id : List.of("1", "2")) {
            assertEquals(Taken.NEWS, state.accept(T, "one", id, true, ""));
        }
        assertEquals(Taken.NEWS, state.accept(T, "two", "1", true, ""));
        assertEquals(List.of(0, 2), state.sizes());
    }

    @Test
    void aStampFarAheadIsRefused() {
        Node a = new Node("a", T).begun();
        assertEquals(
                1,
                a.state
                        .takeAll(
                                T,
                                List.of(new VersionedEntry(
                                        "quote", "s1", new HybridTimestamp(T + 61_000, 0, "b"), false, "up")),
                                Map.of("b", new HybridTimestamp(T + 61_000, 0, "b")),
                                "b")
                        .refused());
        assertNull(a.said("s1"));
        assertEquals(Map.of(), a.state.heard());
    }

    /** Whatever the way and order, all who have heard all hold the same. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void nodesThatHaveHeardEachOtherAreEqual(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            nodes.add(new Node("n" + i, T));
        }
        nodes.get(0).begun();
        nodes.forEach(node -> node.hear(T, nodes.get(0)));
        WatcherReplica watcher = new WatcherReplica();
        for (int step = 0; step < 2000; step++) {
            long now = T + step * 3L;
            Node node = nodes.get(random.nextInt(nodes.size()));
            String id = "s" + random.nextInt(30);
            switch (random.nextInt(5)) {
                case 0 -> node.state.accept(now, "quote", id, false, "v" + step);
                case 1 -> node.state.accept(now, "quote", id, true, "");
                case 2 -> node.state.acceptAsOf(now, now - random.nextInt(2000), "quote", id, false, "w" + step);
                default -> node.hear(now, nodes.get(random.nextInt(nodes.size())));
            }
            node.state
                    .since(QUOTE, ReplicatedStore.back(node.state.version(now), random.nextInt(500)))
                    .forEach(item ->
                            watcher.take(new WatcherReplica.Key("quote", item.id()), item.stamp(), item.gone()));
        }
        for (int round = 0; round < 3; round++) {
            nodes.forEach(node -> nodes.forEach(other -> node.hear(T + 10_000, other)));
        }
        Map<String, String> first = content(nodes.get(0));
        for (Node node : nodes) {
            assertEquals(first, content(node), node.name);
            assertEquals(nodes.get(0).state.digest(QUOTE), node.state.digest(QUOTE));
        }
        List<VersionedEntry> whole = nodes.get(3).state.live(QUOTE);
        whole.forEach(item -> watcher.take(new WatcherReplica.Key("quote", item.id()), item.stamp(), false));
        watcher.keepOnly(
                whole.stream()
                        .map(item -> new WatcherReplica.Key("quote", item.id()))
                        .toList(),
                nodes.get(3).state.heard());
        assertEquals(nodes.get(1).state.digest(QUOTE), watcher.digest());
        assertEquals(whole.size(), watcher.size());
    }

    private static Map<String, String> content(Node node) {
        return node.state.live(QUOTE).stream()
                .collect(Collectors.toMap(
                        VersionedEntry::id, item -> item.body() + item.stamp().text()));
    }
}
