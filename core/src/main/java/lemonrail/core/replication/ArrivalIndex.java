package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The order in which entries arrived at one node, over all topics and by topic. It assigns the arrival numbers, which
 * are the versions from which watchers resume. They are derived from Unix time in milliseconds times
 * 2^{@value #ARRIVAL_BITS}, so that they keep increasing over a restart.
 */
final class ArrivalIndex {

    /** The number of arrivals per millisecond, as a power of two. Versions fit in 53 bits until the year 2248. */
    private static final int ARRIVAL_BITS = 10;

    private final TreeMap<Long, StoredEntry> byArrival = new TreeMap<>();
    private final Map<String, TreeMap<Long, StoredEntry>> byTopic = new HashMap<>();
    private long lastVersion;

    ArrivalIndex(long nowMs) {
        lastVersion = firstVersionAt(nowMs);
    }

    /** Returns the lowest version of the given millisecond. */
    static long firstVersionAt(long timeMs) {
        return timeMs << ARRIVAL_BITS;
    }

    /** Returns the version moved back by the given time, at least 0. */
    static long rewind(long version, long byMs) {
        return Math.max(0, version - firstVersionAt(byMs));
    }

    /** Assigns the next arrival number, above all versions given out so far. */
    long nextArrival(long nowMs) {
        lastVersion = Math.max(lastVersion + 1, firstVersionAt(nowMs));
        return lastVersion;
    }

    /**
     * Assigns the first free arrival number that is not below {@code wanted}. May only be called before any version was
     * given out.
     */
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
        TreeMap<Long, StoredEntry> topicArrivals = byTopic.get(stored.entry().topic());
        topicArrivals.remove(stored.arrival());
        if (topicArrivals.isEmpty()) {
            byTopic.remove(stored.entry().topic());
        }
    }

    /** Returns the last arrival in these topics at or below the version, or 0 if there is none. */
    long lastArrival(Collection<String> topics, long version) {
        long last = 0;
        for (String topic : topics) {
            TreeMap<Long, StoredEntry> topicArrivals = byTopic.get(topic);
            Long arrival = topicArrivals == null ? null : topicArrivals.floorKey(version);
            last = arrival == null ? last : Math.max(last, arrival);
        }
        return last;
    }

    /** Returns the entries that arrived in these topics after the version, in order of arrival. */
    List<StoredEntry> arrivedSince(Collection<String> topics, long version) {
        List<StoredEntry> newer = new ArrayList<>();
        for (String topic : topics) {
            TreeMap<Long, StoredEntry> topicArrivals = byTopic.get(topic);
            if (topicArrivals != null) {
                newer.addAll(topicArrivals.tailMap(version, false).values());
            }
        }
        newer.sort(Comparator.comparingLong(StoredEntry::arrival));
        return newer;
    }

    /** Returns the entries that arrived in all topics after the version, in order of arrival. */
    Collection<StoredEntry> arrivedSince(long version) {
        return byArrival.tailMap(version, false).values();
    }

    /** Returns all entries in order of arrival. */
    Collection<StoredEntry> all() {
        return byArrival.values();
    }
}
