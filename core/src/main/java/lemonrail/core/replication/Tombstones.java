package lemonrail.core.replication;

import java.util.Optional;
import java.util.TreeMap;

/** The removals that a node remembers, bounded in number and age; the oldest arrival is forgotten first. */
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

    /** Returns the oldest tombstone while there are more than the bound. */
    Optional<StoredEntry> oldestInExcess() {
        return byArrival.size() > maxCount ? oldest() : Optional.empty();
    }

    /** Returns the oldest tombstone if its retention is over. */
    Optional<StoredEntry> oldestExpired(long nowMs) {
        return oldest().filter(tombstone -> tombstone.entry().timestamp().timeMs() < nowMs - retentionMs);
    }

    private Optional<StoredEntry> oldest() {
        return byArrival.isEmpty()
                ? Optional.empty()
                : Optional.of(byArrival.firstEntry().getValue());
    }
}
