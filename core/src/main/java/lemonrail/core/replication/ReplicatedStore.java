package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What one control node knows: items with their stamps, in the order of their arrival here. Of two words on
 * one item the one of the higher stamp holds, whatever way and order they come. Single-threaded; time comes
 * with the calls, in milliseconds of Unix time.
 */
public final class ReplicatedStore {

    /** Arrival numbers in a millisecond, as a power of two: Unix time leaves them 53 bits until 2248. */
    private static final int NUMBERS_BITS = 10;

    /**
     * The bounds.
     *
     * @param topics services and settings documents
     * @param items that are there, in all topics
     * @param removed items whose removal is remembered, the oldest being forgotten first
     * @param removedMs for how long it is remembered at most
     * @param aheadMs a stamp that is so far ahead of the clock is refused
     */
    public record Bounds(int topics, int items, int removed, long removedMs, long aheadMs) {
        /** Twenty times the endpoints of the target; removals of a day. */
        public static final Bounds USUAL = new Bounds(1024, 20_000, 16_384, 86_400_000, 60_000);
    }

    /** What became of a word. */
    public enum Taken {
        NEWS,
        KNOWN,
        OLDER,
        AHEAD,
        FULL
    }

    /** What a batch of another node's words has changed. */
    public record Batch(Set<String> topics, int news, int refused) {}

    /** An item, its number here and the node that told of it, empty where it was taken here. */
    private record Held(VersionedEntry item, long arrival, String via) {}

    private static final class Topic {
        final Map<String, Held> items = new HashMap<>();
        final TreeMap<Long, Held> byArrival = new TreeMap<>();
        long digest;
    }

    private final String origin;
    private final Bounds bounds;
    private final HybridLogicalClock clock;
    private final Map<String, Topic> topics = new HashMap<>();
    private final TreeMap<Long, Held> all = new TreeMap<>();
    /** Removed items by their arrival: the oldest is forgotten first. */
    private final TreeMap<Long, Held> removed = new TreeMap<>();
    /** For each node the stamp up to which everything of it has come. */
    private final Map<String, HybridTimestamp> heard = new TreeMap<>();

    private long last;
    private int live;
    private boolean ready;

    /** A node that knows nothing yet. */
    public ReplicatedStore(String origin, Bounds bounds, long nowMs) {
        this.origin = origin;
        this.bounds = bounds;
        clock = new HybridLogicalClock(origin);
        last = nowMs << NUMBERS_BITS;
    }

    /** Whether it may tell anybody what it knows: an empty list would remove all endpoints. */
    public boolean isReady() {
        return ready;
    }

    /** From here on what is known counts as all there is. */
    public void begin() {
        ready = true;
    }

    /** Takes a word that was given here now. */
    public Taken accept(long nowMs, String topic, String id, boolean gone, String body) {
        return acceptAsOf(nowMs, Long.MAX_VALUE, topic, id, gone, body);
    }

    /**
     * Takes a word that was given here, but stands for what was so at an earlier time, as that of one who
     * repeats a call elsewhere. Its stamp is of that time, out of this node's sequence.
     */
    public Taken acceptAsOf(long nowMs, long asOfMs, String topic, String id, boolean gone, String body) {
        if (!ready) {
            throw new IllegalStateException("not ready: no other node has been heard yet");
        }
        boolean late = asOfMs < nowMs;
        HybridTimestamp stamp = late ? HybridTimestamp.asOf(asOfMs, origin) : clock.read(nowMs);
        Held held = held(topic, id);
        if (held != null && stamp.compareTo(held.item().stamp()) <= 0) {
            return stamp.equals(held.item().stamp())
                            && held.item().gone() == gone
                            && (gone || held.item().body().equals(body))
                    ? Taken.KNOWN
                    : Taken.OLDER;
        }
        if (gone && (held == null ? !late : held.item().gone())) {
            return Taken.KNOWN;
        }
        if (!fits(held, topic, gone)) {
            return Taken.FULL;
        }
        if (!late) {
            heard.put(origin, stamp);
        }
        put(new VersionedEntry(topic, id, stamp, gone, gone ? "" : body), next(nowMs), "");
        return Taken.NEWS;
    }

    /** Whether there is room for a word that holds. */
    private boolean fits(Held held, String topic, boolean gone) {
        boolean more = !gone && (held == null || held.item().gone());
        return !(more && live >= bounds.items()) && (topics.containsKey(topic) || topics.size() < bounds.topics());
    }

    /**
     * Takes what another node has told in one answer. Before this node is ready, items are numbered by their
     * stamps: nobody has been told a version yet, and watchers that come from elsewhere lack little then.
     *
     * @param items of the answer, in any order
     * @param itsHeard up to where that node has heard all others
     * @param via that node
     */
    public Batch takeAll(long nowMs, List<VersionedEntry> items, Map<String, HybridTimestamp> itsHeard, String via) {
        Set<String> changed = new TreeSet<>();
        int news = 0;
        int refused = 0;
        List<VersionedEntry> ordered = new ArrayList<>(items);
        // So that those of one node come in its order, and none looks like one that was heard before.
        ordered.sort(Comparator.comparing(VersionedEntry::stamp));
        long byStamp = 0;
        for (VersionedEntry item : ordered) {
            byStamp = Math.max(byStamp + 1, item.stamp().ms() << NUMBERS_BITS);
            Taken taken = take(nowMs, item, byStamp, via);
            if (taken == Taken.NEWS) {
                news++;
                changed.add(item.topic());
            } else if (taken == Taken.AHEAD || taken == Taken.FULL) {
                refused++;
            }
        }
        itsHeard.forEach((node, stamp) -> {
            if (stamp.ms() <= nowMs + bounds.aheadMs()) {
                heard.merge(node, stamp, ReplicatedStore::higher);
                clock.hear(stamp);
            }
        });
        return new Batch(changed, news, refused);
    }

    private Taken take(long nowMs, VersionedEntry item, long byStamp, String via) {
        HybridTimestamp stamp = item.stamp();
        if (stamp.ms() > nowMs + bounds.aheadMs()) {
            return Taken.AHEAD;
        }
        Held held = held(item.topic(), item.id());
        int newer = held == null ? 1 : stamp.compareTo(held.item().stamp());
        if (newer <= 0) {
            return newer == 0 ? Taken.KNOWN : Taken.OLDER;
        }
        if (held == null && stamp.isWithin(heard)) {
            // It was heard, and is here no more: it has been removed, and even that is forgotten.
            return Taken.OLDER;
        }
        if (!fits(held, item.topic(), item.gone())) {
            return Taken.FULL;
        }
        clock.hear(stamp);
        if (!stamp.isAsOf()) {
            heard.merge(stamp.origin(), stamp, ReplicatedStore::higher);
        }
        put(item, ready ? next(nowMs) : byStamp(byStamp), via);
        return Taken.NEWS;
    }

    private static HybridTimestamp higher(HybridTimestamp one, HybridTimestamp other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    private long next(long nowMs) {
        last = Math.max(last + 1, nowMs << NUMBERS_BITS);
        return last;
    }

    private long byStamp(long wanted) {
        long number = wanted;
        while (all.containsKey(number)) {
            number++;
        }
        last = Math.max(last, number);
        return number;
    }

    private Held held(String topic, String id) {
        Topic in = topics.get(topic);
        return in == null ? null : in.items.get(id);
    }

    private void put(VersionedEntry item, long arrival, String via) {
        Topic topic = topics.computeIfAbsent(item.topic(), name -> new Topic());
        Held now = new Held(item, arrival, via);
        Held before = topic.items.put(item.id(), now);
        if (before != null) {
            unlist(topic, before);
        }
        topic.byArrival.put(arrival, now);
        all.put(arrival, now);
        if (item.gone()) {
            removed.put(arrival, now);
            while (removed.size() > bounds.removed()) {
                forgetOldest();
            }
        } else {
            topic.digest += item.digest();
            live++;
        }
    }

    private void unlist(Topic topic, Held held) {
        topic.byArrival.remove(held.arrival());
        all.remove(held.arrival());
        if (held.item().gone()) {
            removed.remove(held.arrival());
        } else {
            topic.digest -= held.item().digest();
            live--;
        }
    }

    private void forgetOldest() {
        Held oldest = removed.firstEntry().getValue();
        Topic topic = topics.get(oldest.item().topic());
        unlist(topic, oldest);
        topic.items.remove(oldest.item().id());
        if (topic.items.isEmpty()) {
            topics.remove(oldest.item().topic());
        }
    }

    /** Forgets removals that are older than the bound. */
    public void expire(long nowMs) {
        while (!removed.isEmpty()
                && removed.firstEntry().getValue().item().stamp().ms() < nowMs - bounds.removedMs()) {
            forgetOldest();
        }
    }

    /** The version now: all that has arrived by this time is below or at it, and what comes is above. */
    public long version(long nowMs) {
        last = Math.max(last, nowMs << NUMBERS_BITS);
        return last;
    }

    /** A version moved back by a time, for one that was told by another node. */
    public static long back(long version, long byMs) {
        return Math.max(0, version - (byMs << NUMBERS_BITS));
    }

    /** The number of the last arrival in these topics at or below a version, 0 if there is none. */
    public long lastArrival(Collection<String> names, long version) {
        long newest = 0;
        for (String name : names) {
            Topic topic = topics.get(name);
            Long number = topic == null ? null : topic.byArrival.floorKey(version);
            newest = number == null ? newest : Math.max(newest, number);
        }
        return newest;
    }

    /** Whether anything in these topics is newer than a version. */
    public boolean hasNewer(Collection<String> names, long version) {
        return lastArrival(names, Long.MAX_VALUE) > version;
    }

    /** What is newer than a version in these topics, removals as well, in the order of arrival. */
    public List<VersionedEntry> since(Collection<String> names, long version) {
        List<Held> newer = new ArrayList<>();
        for (String name : names) {
            Topic topic = topics.get(name);
            if (topic != null) {
                newer.addAll(topic.byArrival.tailMap(version, false).values());
            }
        }
        newer.sort(Comparator.comparingLong(Held::arrival));
        return newer.stream().map(Held::item).toList();
    }

    /** All that is there in these topics. */
    public List<VersionedEntry> live(Collection<String> names) {
        return since(names, -1).stream().filter(item -> !item.gone()).toList();
    }

    /** All items, removals as well, in the order of arrival: what a node gets that starts from nothing. */
    public List<VersionedEntry> everything() {
        return all.values().stream().map(Held::item).toList();
    }

    /** What is newer than a version in all topics, but for what came by this node. */
    public List<VersionedEntry> sinceForPeer(String peer, long version) {
        return all.tailMap(version, false).values().stream()
                .filter(held -> !held.via().equals(peer))
                .map(Held::item)
                .toList();
    }

    /** The last word on an item, also that it is gone; null where there is none. */
    public VersionedEntry get(String topic, String id) {
        Held held = held(topic, id);
        return held == null ? null : held.item();
    }

    /** The digest over all that is there in these topics. */
    public long digest(Collection<String> names) {
        long sum = 0;
        for (String name : names) {
            Topic topic = topics.get(name);
            sum += topic == null ? 0 : topic.digest;
        }
        return sum;
    }

    /** For each node the stamp up to which everything of it has come. */
    public Map<String, HybridTimestamp> heard() {
        return new LinkedHashMap<>(heard);
    }

    /** The names of all topics, sorted. */
    public List<String> topics() {
        return topics.keySet().stream().sorted().toList();
    }

    /** How many items are there, and how many removals are remembered. */
    public List<Integer> sizes() {
        return List.of(live, removed.size());
    }
}
