package lemonrail.control;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.core.replication.WatcherReport;

/**
 * A call of a watch, as its query says.
 *
 * @param topics what is wanted by name, sorted
 * @param all whether all services are wanted, as none was named
 * @param index the version that the watcher knows, or below 0 where it wants the whole list
 * @param waitMs how long to wait for news
 * @param from the boot that told that version, or empty
 * @param digest of what the watcher holds, or null where it tells none
 * @param peer the node that asks, or empty where a sidecar does
 * @param word who asks and what is in force there, or null where it doesn't say
 */
record WatchRequest(
        List<String> topics,
        boolean all,
        long index,
        long waitMs,
        String from,
        Long digest,
        String peer,
        WatcherReport word) {

    private static final long MOST_WAIT_MS = 60_000;
    private static final int MOST_TOPICS = 256;
    private static final int MOST_WHY = 200;

    /** Reads a query; what is bad is an exception that names the parameter. */
    static WatchRequest of(QueryStringDecoder query) {
        Map<String, List<String>> given = query.parameters();
        TreeSet<String> topics = new TreeSet<>();
        for (String several : given.getOrDefault("service", List.of())) {
            for (String service : several.split(",")) {
                topics.add(EntryCodec.word("service", service));
            }
        }
        boolean all = topics.isEmpty();
        String document = first(given, "settings", "");
        if (!document.isEmpty()) {
            topics.add(VersionedEntry.SETTINGS_TOPIC_PREFIX + EntryCodec.word("settings", document));
        }
        if (topics.size() > MOST_TOPICS) {
            throw new IllegalArgumentException("there may be " + MOST_TOPICS + " topics at most");
        }
        String digest = first(given, "digest", null);
        String peer = first(given, "peer", "");
        return new WatchRequest(
                new ArrayList<>(topics),
                all,
                number(given, "index", -1),
                Math.min(MOST_WAIT_MS, number(given, "wait", 0)),
                first(given, "from", ""),
                digest == null ? null : Long.valueOf(Long.parseUnsignedLong(digest, 16)),
                peer.isEmpty() ? "" : EntryCodec.word("peer", peer),
                word(given, document));
    }

    private static WatcherReport word(Map<String, List<String>> given, String document) {
        String name = first(given, "name", "");
        if (name.isEmpty()) {
            return null;
        }
        String inForce = first(given, "inforce", "");
        String refused = first(given, "refused", "");
        String why = first(given, "why", "");
        return new WatcherReport(
                EntryCodec.word("name", name),
                document,
                inForce.isEmpty() ? HybridTimestamp.NONE : HybridTimestamp.parse(inForce),
                refused.isEmpty() ? null : HybridTimestamp.parse(refused),
                why.substring(0, Math.min(MOST_WHY, why.length())));
    }

    private static String first(Map<String, List<String>> given, String name, String absent) {
        List<String> values = given.get(name);
        return values == null || values.isEmpty() ? absent : values.get(0);
    }

    private static long number(Map<String, List<String>> given, String name, long absent) {
        String text = first(given, name, null);
        if (text == null) {
            return absent;
        }
        long number = Long.parseLong(text);
        if (number < 0) {
            throw new IllegalArgumentException(name + " must be 0 or more");
        }
        return number;
    }

    boolean isOfPeer() {
        return !peer.isEmpty();
    }
}
