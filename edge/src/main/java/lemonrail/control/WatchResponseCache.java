package lemonrail.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.json.Json;

/**
 * The texts of answers. What watchers of the same topics lack alike is put into words once, and its bytes are
 * shared by all of them.
 */
final class WatchResponseCache {

    /** Texts that are kept for further watchers, and their bytes at most. */
    private static final int MOST_TEXTS = 256;

    private static final long MOST_BYTES = 8L << 20;

    /** What makes two texts the same: the topics, what the watcher has, and what is the newest there. */
    private record Lack(List<String> topics, boolean full, long known, long newest) {}

    private final ReplicatedStore state;
    private final LinkedHashMap<Lack, byte[]> texts = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;
    private long made;

    WatchResponseCache(ReplicatedStore state) {
        this.state = state;
    }

    /** An answer to a sidecar: the whole list, or what is newer than a version. */
    ByteBuf toWatcher(List<String> topics, boolean full, long since, Map<String, Object> head) {
        head.put("full", full);
        if (full) {
            head.put("heard", heard());
        }
        long newest = state.lastArrival(topics, Long.MAX_VALUE);
        Lack lack = new Lack(topics, full, full ? 0 : state.lastArrival(topics, since), newest);
        byte[] text = texts.get(lack);
        if (text == null) {
            text = bytes(full ? state.liveEntries(topics) : state.entriesSince(topics, since));
            keep(lack, text);
        }
        return join(head, text);
    }

    /** An answer to another node. */
    ByteBuf toPeer(List<VersionedEntry> items, boolean full, Map<String, Object> head) {
        head.put("full", full);
        head.put("heard", heard());
        return join(head, bytes(items));
    }

    /** How often items were put into words. */
    long made() {
        return made;
    }

    private Map<String, Object> heard() {
        Map<String, Object> heard = new LinkedHashMap<>();
        for (Map.Entry<String, HybridTimestamp> entry :
                state.acknowledgedVersions().entrySet()) {
            heard.put(entry.getKey(), entry.getValue().encode());
        }
        return heard;
    }

    private byte[] bytes(List<VersionedEntry> items) {
        made++;
        return ("," + EntryCodec.lists(items) + "}").getBytes(StandardCharsets.UTF_8);
    }

    private void keep(Lack lack, byte[] text) {
        texts.put(lack, text);
        bytes += text.length;
        while (texts.size() > MOST_TEXTS || (bytes > MOST_BYTES && texts.size() > 1)) {
            Lack oldest = texts.keySet().iterator().next();
            bytes -= texts.remove(oldest).length;
        }
    }

    private static ByteBuf join(Map<String, Object> head, byte[] text) {
        byte[] start = Json.text(head).getBytes(StandardCharsets.UTF_8);
        return Unpooled.wrappedBuffer(Unpooled.wrappedBuffer(start, 0, start.length - 1), Unpooled.wrappedBuffer(text));
    }
}
