package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The replicated entries of one control node. Of two versions of an entry the one with the higher timestamp
 * wins, in whatever order and by whatever node they arrive. Not thread-safe; callers pass the time, in
 * milliseconds of Unix time.
 */
public final class ReplicatedStore {

    /** The time of a write that stands for the present. */
    public static final long AS_OF_NOW = Long.MAX_VALUE;

    /**
     * The bounds of a store.
     *
     * @param maxTopics services and settings documents
     * @param maxEntries live entries in all topics
     * @param maxTombstones removals that are remembered, the oldest being forgotten first
     * @param tombstoneRetentionMs how long a removal is remembered at most
     * @param maxClockAheadMs a timestamp further ahead of the local clock is rejected
     */
    public record Bounds(
            int maxTopics, int maxEntries, int maxTombstones, long tombstoneRetentionMs, long maxClockAheadMs) {
        /** Twenty times the endpoints of the target; removals of a day. */
        public static final Bounds DEFAULT = new Bounds(1024, 20_000, 16_384, 86_400_000, 60_000);
    }

    /** The entries of one topic and the digest over the live ones. */
    private static final class Topic {
        private final Map<String, StoredEntry> byId = new HashMap<>();
        private long digest;
    }

    private final String origin;
    private final Bounds bounds;
    private final HybridLogicalClock clock;
    private final Map<String, Topic> topics = new HashMap<>();
    private final ArrivalIndex arrivals;
    private final Tombstones tombstones;
    /** For each node the timestamp up to which all its writes have been received. */
    private final Map<String, HybridTimestamp> acknowledgedVersions = new TreeMap<>();

    private int liveCount;
    private boolean ready;

    /**
     * Creates an empty store that is not ready.
     *
     * @param origin the name of the node, which marks its writes
     */
    public ReplicatedStore(String origin, Bounds bounds, long nowMs) {
        this.origin = origin;
        this.bounds = bounds;
        clock = new HybridLogicalClock(origin);
        arrivals = new ArrivalIndex(nowMs);
        tombstones = new Tombstones(bounds.maxTombstones(), bounds.tombstoneRetentionMs());
    }

    /** Returns whether the content may be served: an empty endpoint list would remove all endpoints. */
    public boolean isReady() {
        return ready;
    }

    /** Declares the content complete; it may be served and written from now on. */
    public void markReady() {
        ready = true;
    }

    /**
     * Writes an entry with the current time.
     *
     * @throws IllegalStateException if the store is not ready
     */
    public MergeOutcome write(long nowMs, String topic, String id, boolean removed, String body) {
        return writeAsOf(nowMs, AS_OF_NOW, topic, id, removed, body);
    }

    /**
     * Writes an entry on behalf of an earlier time, as for a change that is repeated at another node. Its
     * timestamp is of that time and outside this node's sequence.
     *
     * @param asOfMs the time that the write stands for; from {@code nowMs} on it is a current one
     * @throws IllegalStateException if the store is not ready
     */
    public MergeOutcome writeAsOf(long nowMs, long asOfMs, String topic, String id, boolean removed, String body) {
        if (!ready) {
            throw new IllegalStateException("not ready: no other node has been heard yet");
        }
        boolean backdated = asOfMs < nowMs;
        HybridTimestamp timestamp = backdated ? HybridTimestamp.backdated(asOfMs, origin) : clock.tick(nowMs);
        VersionedEntry entry = new VersionedEntry(topic, id, timestamp, removed, removed ? "" : body);
        StoredEntry stored = stored(topic, id);
        if (stored != null && timestamp.compareTo(stored.entry().timestamp()) <= 0) {
            return entry.equals(stored.entry()) ? MergeOutcome.ALREADY_KNOWN : MergeOutcome.SUPERSEDED;
        }
        // A backdated removal is stored even if the entry is unknown: an older version may still arrive.
        boolean alreadyAbsent = stored == null ? !backdated : stored.isRemoved();
        if (removed && alreadyAbsent) {
            return MergeOutcome.ALREADY_KNOWN;
        }
        if (!hasCapacityFor(stored, topic, removed)) {
            return MergeOutcome.STORE_FULL;
        }
        if (!backdated) {
            acknowledgedVersions.put(origin, timestamp);
        }
        store(new StoredEntry(entry, arrivals.nextArrival(nowMs), ""));
        return MergeOutcome.APPLIED;
    }

    private boolean hasCapacityFor(StoredEntry stored, String topic, boolean removed) {
        boolean addsLiveEntry = !removed && (stored == null || stored.isRemoved());
        if (addsLiveEntry && liveCount >= bounds.maxEntries()) {
            return false;
        }
        return topics.containsKey(topic) || topics.size() < bounds.maxTopics();
    }

    /**
     * Merges the entries of one response of another node. Until this store is ready they are numbered by their
     * timestamps: no version has been given out yet, and watchers that resume from another node's version then
     * lack little.
     *
     * @param entries of the response, in any order
     * @param peerAcknowledgedVersions that node's acknowledged version vector
     * @param peer that node's name, empty for a snapshot
     */
    public MergeResult mergeAll(
            long nowMs,
            List<VersionedEntry> entries,
            Map<String, HybridTimestamp> peerAcknowledgedVersions,
            String peer) {
        Set<String> changedTopics = new TreeSet<>();
        int appliedCount = 0;
        int rejectedCount = 0;
        List<VersionedEntry> ordered = new ArrayList<>(entries);
        // By timestamp: a later entry of a node acknowledges its earlier ones, which would look forgotten.
        ordered.sort(Comparator.comparing(VersionedEntry::timestamp));
        long arrivalByTime = 0;
        for (VersionedEntry entry : ordered) {
            arrivalByTime = Math.max(
                    arrivalByTime + 1,
                    ArrivalIndex.firstVersionAt(entry.timestamp().timeMs()));
            MergeOutcome outcome = merge(nowMs, entry, arrivalByTime, peer);
            if (outcome == MergeOutcome.APPLIED) {
                appliedCount++;
                changedTopics.add(entry.topic());
            } else if (outcome.isRejected()) {
                rejectedCount++;
            }
        }
        peerAcknowledgedVersions.forEach((node, timestamp) -> acknowledge(nowMs, node, timestamp));
        return new MergeResult(changedTopics, appliedCount, rejectedCount);
    }

    private void acknowledge(long nowMs, String node, HybridTimestamp timestamp) {
        if (!isTooFarAhead(nowMs, timestamp)) {
            acknowledgedVersions.merge(node, timestamp, HybridTimestamp::max);
            clock.observe(timestamp);
        }
    }

    private boolean isTooFarAhead(long nowMs, HybridTimestamp timestamp) {
        return timestamp.timeMs() > nowMs + bounds.maxClockAheadMs();
    }

    private MergeOutcome merge(long nowMs, VersionedEntry entry, long arrivalByTime, String peer) {
        HybridTimestamp timestamp = entry.timestamp();
        if (isTooFarAhead(nowMs, timestamp)) {
            return MergeOutcome.CLOCK_AHEAD;
        }
        StoredEntry stored = stored(entry.topic(), entry.id());
        if (stored != null) {
            int comparison = timestamp.compareTo(stored.entry().timestamp());
            if (comparison <= 0) {
                return comparison == 0 ? MergeOutcome.ALREADY_KNOWN : MergeOutcome.SUPERSEDED;
            }
        } else if (timestamp.isAcknowledgedBy(acknowledgedVersions)) {
            // It was received and is absent: it has been removed, and the tombstone is forgotten.
            return MergeOutcome.SUPERSEDED;
        }
        if (!hasCapacityFor(stored, entry.topic(), entry.removed())) {
            return MergeOutcome.STORE_FULL;
        }
        clock.observe(timestamp);
        if (!timestamp.isBackdated()) {
            acknowledgedVersions.merge(timestamp.origin(), timestamp, HybridTimestamp::max);
        }
        long arrival = ready ? arrivals.nextArrival(nowMs) : arrivals.firstFreeArrival(arrivalByTime);
        store(new StoredEntry(entry, arrival, peer));
        return MergeOutcome.APPLIED;
    }

    private StoredEntry stored(String topicName, String id) {
        Topic topic = topics.get(topicName);
        return topic == null ? null : topic.byId.get(id);
    }

    private void store(StoredEntry stored) {
        VersionedEntry entry = stored.entry();
        Topic topic = topics.computeIfAbsent(entry.topic(), name -> new Topic());
        StoredEntry previous = topic.byId.put(entry.id(), stored);
        if (previous != null) {
            unindex(topic, previous);
        }
        arrivals.add(stored);
        if (!entry.removed()) {
            topic.digest += entry.digest();
            liveCount++;
            return;
        }
        tombstones.add(stored);
        for (Optional<StoredEntry> excess = tombstones.oldestInExcess();
                excess.isPresent();
                excess = tombstones.oldestInExcess()) {
            forget(excess.get());
        }
    }

    private void unindex(Topic topic, StoredEntry stored) {
        arrivals.remove(stored);
        if (stored.isRemoved()) {
            tombstones.remove(stored);
        } else {
            topic.digest -= stored.entry().digest();
            liveCount--;
        }
    }

    private void forget(StoredEntry tombstone) {
        String topicName = tombstone.entry().topic();
        Topic topic = topics.get(topicName);
        unindex(topic, tombstone);
        topic.byId.remove(tombstone.entry().id());
        if (topic.byId.isEmpty()) {
            topics.remove(topicName);
        }
    }

    /** Forgets the removals whose retention is over. */
    public void expireTombstones(long nowMs) {
        for (Optional<StoredEntry> expired = tombstones.oldestExpired(nowMs);
                expired.isPresent();
                expired = tombstones.oldestExpired(nowMs)) {
            forget(expired.get());
        }
    }

    /** Returns the current version: all past arrivals are at or below it, all future ones above. */
    public long currentVersion(long nowMs) {
        return arrivals.currentVersion(nowMs);
    }

    /** Returns a version moved back by a time, for one that another node has given out. */
    public static long rewind(long version, long byMs) {
        return ArrivalIndex.rewind(version, byMs);
    }

    /** Returns the last arrival in these topics at or below a version, 0 if there is none. */
    public long lastArrival(Collection<String> topicNames, long version) {
        return arrivals.lastArrival(topicNames, version);
    }

    /** Returns whether anything arrived in these topics after a version. */
    public boolean hasNewer(Collection<String> topicNames, long version) {
        return lastArrival(topicNames, Long.MAX_VALUE) > version;
    }

    /** Returns what arrived in these topics after a version, removals included, in the order of arrival. */
    public List<VersionedEntry> entriesSince(Collection<String> topicNames, long version) {
        return arrivals.arrivedSince(topicNames, version).stream()
                .map(StoredEntry::entry)
                .toList();
    }

    /** Returns the live entries of these topics. */
    public List<VersionedEntry> liveEntries(Collection<String> topicNames) {
        return entriesSince(topicNames, -1).stream()
                .filter(entry -> !entry.removed())
                .toList();
    }

    /** Returns all entries, removals included, in the order of arrival: the full snapshot for a node. */
    public List<VersionedEntry> allEntries() {
        return arrivals.all().stream().map(StoredEntry::entry).toList();
    }

    /** Returns what arrived in all topics after a version, except for what this peer has sent. */
    public List<VersionedEntry> entriesForPeerSince(String peer, long version) {
        return arrivals.arrivedSince(version).stream()
                .filter(stored -> !stored.receivedFrom().equals(peer))
                .map(StoredEntry::entry)
                .toList();
    }

    /** Returns the winning version of an entry, which may be a removal; null if there is none. */
    public VersionedEntry get(String topic, String id) {
        StoredEntry stored = stored(topic, id);
        return stored == null ? null : stored.entry();
    }

    /** Returns the digest over the live entries of these topics. */
    public long digest(Collection<String> topicNames) {
        long sum = 0;
        for (String name : topicNames) {
            Topic topic = topics.get(name);
            sum += topic == null ? 0 : topic.digest;
        }
        return sum;
    }

    /** Returns the acknowledged version vector: for each node the timestamp of its last write received. */
    public Map<String, HybridTimestamp> acknowledgedVersions() {
        return new LinkedHashMap<>(acknowledgedVersions);
    }

    /** Returns the names of all topics, sorted. */
    public List<String> topics() {
        return topics.keySet().stream().sorted().toList();
    }

    /** Returns the number of live entries. */
    public int liveCount() {
        return liveCount;
    }

    /** Returns the number of removals that are remembered. */
    public int tombstoneCount() {
        return tombstones.size();
    }
}
