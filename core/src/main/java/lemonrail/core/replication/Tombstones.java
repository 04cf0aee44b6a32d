package lemonrail.core.replication;

import java.util.Optional;
import java.util.TreeMap;

/** The tombstones of one node, bounded in number and age. The one that arrived first is dropped first. */
final class Tombstones {

    private final int maxCount;
    private final long retentionMs;
    private final TreeMap<Long, StoredEntry> byArrival = new TreeMap<>();

    Tombstones(int maxCount, long retentionMs) {
        this.maxCount = maxCount;
        this.retentionMs = retentionMs;
    }

    void add(StoredEntry tombstone) {
        byArrival.put(tombstone.arrival(), tombstone);
    }

    void remove(StoredEntry tombstone) {
        byArrival.remove(tombstone.arrival());
    }

    int size() {
        return byArrival.size();
    }

    /** Returns the oldest tombstone if there are more than the maximum. */
    Optional<StoredEntry> oldestInExcess() {
        return byArrival.size() > maxCount ? oldest() : Optional.empty();
    }

    /** Returns the oldest tombstone if its retention time has passed. */
    Optional<StoredEntry> oldestExpired(long nowMs) {
        return oldest().filter(tombstone -> tombstone.entry().timestamp().timeMs() < nowMs - retentionMs);
    }

    private Optional<StoredEntry> oldest() {
        return byArrival.isEmpty()
                ? Optional.empty()
                : Optional.of(byArrival.firstEntry().getValue());
    }
}
