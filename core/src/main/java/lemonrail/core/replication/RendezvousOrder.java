package lemonrail.core.replication;

import java.util.Comparator;
import java.util.List;
import lemonrail.core.StableHash;

/**
 * Rendezvous (highest random weight) hashing of watchers to control nodes. Each watcher has its own order of nodes, so
 * that watchers are spread evenly over the nodes, and the watchers of a failed node evenly over the other nodes.
 */
public final class RendezvousOrder {

    private RendezvousOrder() {}

    /** Returns the distinct nodes by descending weight for this watcher, and by name for equal weights. */
    public static List<String> order(String watcher, List<String> nodes) {
        Comparator<String> byDescendingWeight = Comparator.comparingLong(node -> -weight(watcher, node));
        return nodes.stream()
                .distinct()
                .sorted(byDescendingWeight.thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long weight(String watcher, String node) {
        return StableHash.of(watcher + "@" + node);
    }
}
