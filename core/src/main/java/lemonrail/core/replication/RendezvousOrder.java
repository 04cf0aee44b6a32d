package lemonrail.core.replication;

import java.util.Comparator;
import java.util.List;
import lemonrail.core.StableHash;

/**
 * Rendezvous (highest random weight) hashing of watchers to control nodes. Each watcher has an order of its own,
 * so that watchers are spread evenly over the nodes, and those of a failed node evenly over the others.
 */
public final class RendezvousOrder {

    private RendezvousOrder() {}

    /** Returns the distinct nodes by falling weight for this watcher, ties by name. */
    public static List<String> order(String watcher, List<String> nodes) {
        Comparator<String> byFallingWeight = Comparator.comparingLong(node -> -weight(watcher, node));
        return nodes.stream()
                .distinct()
                .sorted(byFallingWeight.thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    private static long weight(String watcher, String node) {
        return StableHash.of(watcher + "@" + node);
    }
}
