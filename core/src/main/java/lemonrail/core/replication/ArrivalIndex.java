package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The order in which entries arrived at one node, in all and by topic. It allots the arrival numbers, which
 * are the versions that watchers resume from: Unix time in milliseconds times 2^{@value #ARRIVAL_BITS}, so that
 * they keep growing over a restart.
 */
final class ArrivalIndex {

    /** Arrival numbers in a millisecond, as a power of two: Unix time leaves them 53 bits until 2248. */
    private static final int ARRIVAL_BITS = 10;

    private final TreeMap<Long, StoredEntry> byArrival = new TreeMap<>();
    private final Map<String, TreeMap<Long, StoredEntry>> byTopic = new HashMap<>();
    private long lastVersion;

    ArrivalIndex(long nowMs) {
        lastVersion = firstVersionAt(nowMs);
    }

    /** Returns the lowest version of a millisecond. */
    static long firstVersionAt(long timeMs) {
        return timeMs << ARRIVAL_BITS;
    }

    /** Returns a version moved back by a time. */
    static long rewind(long version, long byMs) {
        return Math.max(0, version - firstVersionAt(byMs));
    }

    /** Allots the next arrival number, above all versions given out. */
    long nextArrival(long nowMs) {
        lastVersion = Math.max(lastVersion + 1, firstVersionAt(nowMs));
        return lastVersion;
    }

    /** Allots the first free arrival number from a wanted one on; only valid before a version was given out. */
    long firstFreeArrival(long wanted) {
        long arrival = wanted;
        while (byArrival.containsKey(arrival)) {
            arrival++;
        }
        lastVersion = Math.max(lastVersion, arrival);
        return arrival;
    }

    /** Returns the current version: all past arrivals are at or below it, all future ones above. */
    long currentVersion(long nowMs) {
        lastVersion = Math.max(lastVersion, firstVersionAt(nowMs));
        return lastVersion;
    }

    void add(StoredEntry stored) {
        byArrival.put(stored.arrival(), stored);
        byTopic.computeIfAbsent(stored.entry().topic(), topic -> new TreeMap<>())
                .put(stored.arrival(), stored);
    }

    void remove(StoredEntry stored) {
        byArrival.remove(stored.arrival());
        TreeMap<Long, StoredEntry> ofTopic = byTopic.get(stored.entry().topic());
        ofTopic.remove(stored.arrival());
        if (ofTopic.isEmpty()) {
            byTopic.remove(stored.entry().topic());
        }
    }

    /** Returns the last arrival in these topics at or below a version, 0 if there is none. */
    long lastArrival(Collection<String> topics, long version) {
        long last = 0;
        for (String topic : topics) {
            TreeMap<Long, StoredEntry> ofTopic = byTopic.get(topic);
            Long arrival = ofTopic == null ? null : ofTopic.floorKey(version);
            last = arrival == null ? last : Math.max(last, arrival);
        }
        return last;
    }

    /** Returns what arrived in these topics after a version, in the order of arrival. */
    List<StoredEntry> arrivedSince(Collection<String> topics, long version) {
        List<StoredEntry> newer = new ArrayList<>();
        for (String topic : topics) {
            TreeMap<Long, StoredEntry> ofTopic = byTopic.get(topic);
            if (ofTopic != null) {
                newer.addAll(ofTopic.tailMap(version, false).values());
            }
        }
        newer.sort(Comparator.comparingLong(StoredEntry::arrival));
        return newer;
    }

    /** Returns what arrived in all topics after a version, in the order of arrival. */
    Collection<StoredEntry> arrivedSince(long version) {
        return byArrival.tailMap(version, false).values();
    }

    /** Returns all entries in the order of arrival. */
    Collection<StoredEntry> all() {
        return byArrival.values();
    }
}
