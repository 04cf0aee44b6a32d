package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A watcher's replica of its topics, which holds only the entries' timestamps. They distinguish updates from known
 * versions, also after a move to a node that has received fewer versions.
 */
public final class WatcherReplica {

    /** The maximum number of tombstones. The oldest is dropped first. */
    static final int MAX_TOMBSTONES = 4096;

    /** Identifies an entry. */
    public record Key(String topic, String id) {}

    private final Map<Key, HybridTimestamp> live = new HashMap<>();
    private final LinkedHashMap<Key, HybridTimestamp> tombstones = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, HybridTimestamp> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };
    private long digest;

    /**
     * Applies one version of an entry.
     *
     * @return whether the version wins and changes the live entries; a removal of an absent entry does not change them
     */
    public boolean apply(Key key, HybridTimestamp timestamp, boolean removed) {
        HybridTimestamp known = live.getOrDefault(key, tombstones.get(key));
        if (known != null && timestamp.compareTo(known) <= 0) {
            return false;
        }
        HybridTimestamp previous = live.remove(key);
        if (previous != null) {
            digest -= digestOf(key, previous);
        }
        // Removed before it is added again, so that a repeated removal becomes the newest.
        tombstones.remove(key);
        if (removed) {
            tombstones.put(key, timestamp);
            return previous != null;
        }
        live.put(key, timestamp);
        digest += digestOf(key, timestamp);
        return true;
    }

    /**
     * Drops entries that a full snapshot does not contain although its node has received them. Entries that the node
     * has not received yet are kept.
     *
     * @param listed the entries of the snapshot
     * @param acknowledgedVersions the node's acknowledged version vector
     * @return the entries dropped
     */
    public List<Key> retainListed(Collection<Key> listed, Map<String, HybridTimestamp> acknowledgedVersions) {
        Set<Key> present = Set.copyOf(listed);
        List<Key> dropped = new ArrayList<>();
        live.forEach((key, timestamp) -> {
            boolean wasReceivedByNode = timestamp.isBackdated() || timestamp.isAcknowledgedBy(acknowledgedVersions);
            if (!present.contains(key) && wasReceivedByNode) {
                dropped.add(key);
            }
        });
        dropped.forEach(key -> digest -= digestOf(key, live.remove(key)));
        return dropped;
    }

    private static long digestOf(Key key, HybridTimestamp timestamp) {
        return VersionedEntry.digest(key.topic(), key.id(), timestamp);
    }

    /** Returns the digest over all live entries, computed as the control nodes do. */
    public long digest() {
        return digest;
    }

    /** Returns the number of live entries. */
    public int size() {
        return live.size();
    }
}
