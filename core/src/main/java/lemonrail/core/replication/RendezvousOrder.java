package lemonrail.core.replication;

import java.util.Comparator;
import java.util.List;
import lemonrail.core.StableHash;

/** Which node a watcher goes to first: each has its own order, so that all of them share the nodes evenly. */
public final class RendezvousOrder {

    private RendezvousOrder() {}

    /** The nodes in this watcher's order, by rendezvous hashing. */
    public static List<String> order(String watcher, List<String> nodes) {
        return nodes.stream()
                .distinct()
                .sorted(Comparator.comparingLong((String node) -> -StableHash.of(watcher + "@" + node))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
