package lemonrail.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.json.Json;

/**
 * Encodes watch responses. Watchers of the same topics that lack the same entries get the same body, which is
 * encoded once and cached. Belongs to the event loop.
 */
final class WatchResponseCache {

    private static final int MAX_BODIES = 256;
    private static final long MAX_BYTES = 8L << 20;
    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    /**
     * Identifies a body: two responses with equal keys have equal bodies.
     *
     * @param lastKnownArrival the last arrival in the topics that the watcher has, 0 for a full snapshot
     * @param lastArrival the last arrival in the topics
     */
    private record Key(List<String> topics, boolean full, long lastKnownArrival, long lastArrival) {}

    private final ReplicatedStore store;
    /** The cached bodies, least recently used first. */
    private final LinkedHashMap<Key, byte[]> bodies = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

    private long cachedBytes;
    private long encodedBodies;

    WatchResponseCache(ReplicatedStore store) {
        this.store = store;
    }

    /** Returns a response to a sidecar with all live entries of the topics. */
    ByteBuf fullSnapshot(List<String> topics, WatchResponseHead head) {
        Key key = new Key(topics, true, 0, store.lastArrival(topics, Long.MAX_VALUE));
        byte[] body = bodies.get(key);
        if (body == null) {
            body = encode(store.liveEntries(topics));
            add(key, body);
        }
        return join(headFieldsWithVersions(head, true), body);
    }

    /** Returns a response to a sidecar with the entries that arrived in the topics after a version. */
    ByteBuf delta(List<String> topics, long sinceVersion, WatchResponseHead head) {
        long lastKnownArrival = store.lastArrival(topics, sinceVersion);
        Key key = new Key(topics, false, lastKnownArrival, store.lastArrival(topics, Long.MAX_VALUE));
        byte[] body = bodies.get(key);
        if (body == null) {
            body = encode(store.entriesSince(topics, sinceVersion));
            add(key, body);
        }
        return join(headFields(head, false), body);
    }

    /** Returns a response to a peer. */
    ByteBuf toPeer(List<VersionedEntry> entries, boolean full, WatchResponseHead head) {
        return join(headFieldsWithVersions(head, full), encode(entries));
    }

    /** Returns how many bodies were encoded since the start; other responses reused them. */
    long encodedBodies() {
        return encodedBodies;
    }

    private static Map<String, Object> headFields(WatchResponseHead head, boolean full) {
        Map<String, Object> json = head.toJson();
        json.put("full", full);
        return json;
    }

    private Map<String, Object> headFieldsWithVersions(WatchResponseHead head, boolean full) {
        Map<String, Object> json = headFields(head, full);
        json.put("heard", EntryCodec.encodeVersions(store.acknowledgedVersions()));
        return json;
    }

    private byte[] encode(List<VersionedEntry> entries) {
        encodedBodies++;
        return ("," + EntryCodec.encodeEntries(entries) + "}").getBytes(StandardCharsets.UTF_8);
    }

    private void add(Key key, byte[] body) {
        bodies.put(key, body);
        cachedBytes += body.length;
        while (bodies.size() > MAX_BODIES || (cachedBytes > MAX_BYTES && bodies.size() > 1)) {
            Key leastRecentlyUsed = bodies.keySet().iterator().next();
            cachedBytes -= bodies.remove(leastRecentlyUsed).length;
        }
    }

    /** Joins the head without its closing brace and the body, which continues the head's JSON object. */
    private static ByteBuf join(Map<String, Object> head, byte[] body) {
        byte[] start = Json.text(head).getBytes(StandardCharsets.UTF_8);
        return Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(start, 0, start.length - 1), Unpooled.wrappedBuffer(body));
    }
}
