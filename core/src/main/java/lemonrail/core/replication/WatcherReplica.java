package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a watcher holds of its topics: the stamps alone, by which it knows news from what it has heard, also
 * when it comes to a node that knows less.
 */
public final class WatcherReplica {

    /** Removed items whose removal is remembered. */
    static final int MOST_REMOVED = 4096;

    /** An item's name. */
    public record Key(String topic, String id) {}

    private final Map<Key, HybridTimestamp> live = new HashMap<>();
    private final LinkedHashMap<Key, HybridTimestamp> removed = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, HybridTimestamp> eldest) {
            return size() > MOST_REMOVED;
        }
    };
    private long digest;

    /** Takes a word; true if it holds and is news. */
    public boolean take(Key key, HybridTimestamp stamp, boolean gone) {
        HybridTimestamp known = live.getOrDefault(key, removed.get(key));
        if (known != null && stamp.compareTo(known) <= 0) {
            return false;
        }
        HybridTimestamp before = live.remove(key);
        if (before != null) {
            digest -= VersionedEntry.digest(key.topic(), key.id(), before);
        }
        if (gone) {
            removed.remove(key);
            removed.put(key, stamp);
            return before != null;
        }
        removed.remove(key);
        live.put(key, stamp);
        digest += VersionedEntry.digest(key.topic(), key.id(), stamp);
        return true;
    }

    /**
     * Drops what a whole list doesn't name, if its node has heard of it; what it has not heard of yet stays.
     * Returns what was dropped.
     */
    public List<Key> keepOnly(Collection<Key> named, Map<String, HybridTimestamp> heard) {
        Set<Key> there = Set.copyOf(named);
        List<Key> dropped = new ArrayList<>();
        live.forEach((key, stamp) -> {
            if (!there.contains(key) && (stamp.isAsOf() || stamp.isWithin(heard))) {
                dropped.add(key);
            }
        });
        dropped.forEach(key -> digest -= VersionedEntry.digest(key.topic(), key.id(), live.remove(key)));
        return dropped;
    }

    /** The digest over all that is held, as the nodes count it. */
    public long digest() {
        return digest;
    }

    /** How many items are held. */
    public int size() {
        return live.size();
    }
}
