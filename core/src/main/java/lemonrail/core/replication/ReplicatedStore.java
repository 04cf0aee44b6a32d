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
 * The replicated entries of one control node. Of two versions of an entry the one with the higher timestamp wins,
 * whatever the order in which and the nodes from which they arrive. Not thread-safe; callers pass the current Unix time
 * in milliseconds.
 */
public final class ReplicatedStore {

    /** The as-of time of a write that takes effect at the current time. */
    public static final long AS_OF_NOW = Long.MAX_VALUE;

    /**
     * The bounds of a store.
     *
     * @param maxTopics the maximum number of services and settings documents
     * @param maxEntries the maximum number of live entries in all topics
     * @param maxTombstones the maximum number of tombstones; the oldest is dropped first
     * @param tombstoneRetentionMs the maximum time for which a tombstone is kept
     * @param maxClockAheadMs the maximum time by which a timestamp may be ahead of the local clock without being
     *     rejected
     */
    public record Bounds(
            int maxTopics, int maxEntries, int maxTombstones, long tombstoneRetentionMs, long maxClockAheadMs) {
        /** Entries for twenty times the target of 1,000 endpoints, and tombstones kept for one day. */
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
    /** For each node, the timestamp up to which all its writes have been received. */
    private final Map<String, HybridTimestamp> acknowledgedVersions = new TreeMap<>();

    private int liveCount;
    private boolean ready;

    /**
     * Creates an empty store that is not ready.
     *
     * @param origin the name of the node, which is part of the timestamps of its writes
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

    /** Marks the content as complete. It may be served and written from then on. */
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
     * Writes an entry with an earlier time, for example when a change is repeated at another node. The timestamp then
     * has that earlier time and advances neither this node's clock nor its acknowledged version.
     *
     * @param asOfMs the time of the write; if it is not before {@code nowMs}, the current time is used
     * @throws IllegalStateException if the store is not ready
     */
    public MergeOutcome writeAsOf(long nowMs, long asOfMs, String topic, String id, boolean removed, String body) {
        if (!ready) {
            throw new IllegalStateException("not ready: no full snapshot received from another control node yet");
        }
        boolean backdated = asOfMs < nowMs;
        HybridTimestamp timestamp = backdated ? HybridTimestamp.backdated(asOfMs, origin) : clock.tick(nowMs);
        VersionedEntry entry = new VersionedEntry(topic, id, timestamp, removed, removed ? "" : body);
        StoredEntry stored = stored(topic, id);
        if (stored != null && timestamp.compareTo(stored.entry().timestamp()) <= 0) {
            return entry.equals(stored.entry()) ? MergeOutcome.ALREADY_KNOWN : MergeOutcome.SUPERSEDED;
        }
        // A backdated removal is stored even if the entry is unknown, because an older version may still arrive.
        boolean isAlreadyAbsent = stored == null ? !backdated : stored.isRemoved();
        if (removed && isAlreadyAbsent) {
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
     * Merges the entries of one response from another node. Until this store is ready their arrival numbers are derived
     * from their timestamps. That is possible because no version has been given out yet, and it means that watchers
     * that resume from another node's version miss few entries.
     *
     * @param entries the entries of the response, in any order
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
        List<VersionedEntry> entriesByTimestamp = new ArrayList<>(entries);
        // Sorted by timestamp, because a later entry of a node acknowledges its earlier ones, which would then be taken
        // for removed entries.
        entriesByTimestamp.sort(Comparator.comparing(VersionedEntry::timestamp));
        long arrivalByTime = 0;
        for (VersionedEntry entry : entriesByTimestamp) {
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
            // The version was received before and is absent now: it has been removed, and its tombstone was dropped.
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
            dropTombstone(excess.get());
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

    private void dropTombstone(StoredEntry tombstone) {
        String topicName = tombstone.entry().topic();
        Topic topic = topics.get(topicName);
        unindex(topic, tombstone);
        topic.byId.remove(tombstone.entry().id());
        if (topic.byId.isEmpty()) {
            topics.remove(topicName);
        }
    }

    /** Drops the tombstones whose retention time has passed. */
    public void expireTombstones(long nowMs) {
        for (Optional<StoredEntry> expired = tombstones.oldestExpired(nowMs);
                expired.isPresent();
                expired = tombstones.oldestExpired(nowMs)) {
            dropTombstone(expired.get());
        }
    }

    /** Returns the current version: all past arrivals are at or below it, all future ones above. */
    public long currentVersion(long nowMs) {
        return arrivals.currentVersion(nowMs);
    }

    /** Returns the version moved back by the given time, for a version that another node has given out. */
    public static long rewind(long version, long byMs) {
        return ArrivalIndex.rewind(version, byMs);
    }

    /** Returns the last arrival number in these topics at or below the version, or 0 if there is none. */
    public long lastArrival(Collection<String> topicNames, long version) {
        return arrivals.lastArrival(topicNames, version);
    }

    /** Returns whether any entry arrived in these topics after the version. */
    public boolean hasNewer(Collection<String> topicNames, long version) {
        return lastArrival(topicNames, Long.MAX_VALUE) > version;
    }

    /** Returns the entries that arrived in these topics after the version, including removals, in order of arrival. */
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

    /** Returns all entries, including removals, in order of arrival. They are the full snapshot for another node. */
    public List<VersionedEntry> allEntries() {
        return arrivals.all().stream().map(StoredEntry::entry).toList();
    }

    /** Returns the entries that arrived in any topic after the version, except those that this peer has sent. */
    public List<VersionedEntry> entriesForPeerSince(String peer, long version) {
        return arrivals.arrivedSince(version).stream()
                .filter(stored -> !stored.receivedFrom().equals(peer))
                .map(StoredEntry::entry)
                .toList();
    }

    /** Returns the winning version of an entry, which may be a removal, or null if there is none. */
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

    /** Returns the acknowledged version vector: for each node, the timestamp of the last write received. */
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

    /** Returns the number of tombstones. */
    public int tombstoneCount() {
        return tombstones.size();
    }
}
