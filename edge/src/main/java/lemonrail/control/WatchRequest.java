package lemonrail.control;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.core.replication.WatcherReport;

/**
 * One watch request, parsed from the query of its URI.
 *
 * @param topics the requested topics, sorted
 * @param allServices whether all services are watched, because the request names none
 * @param version the version to resume from, negative to request a full snapshot
 * @param waitMs how long to wait for an update
 * @param bootId identifies the node process that issued the version, or empty
 * @param digest the digest over the watcher's entries, or null if the request has none
 * @param peer the name of the requesting node, empty for a sidecar
 * @param report the watcher's report about itself, or null if the request has no watcher's name
 */
record WatchRequest(
        List<String> topics,
        boolean allServices,
        long version,
        long waitMs,
        String bootId,
        Long digest,
        String peer,
        WatcherReport report) {

    private static final long NO_VERSION = -1;
    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_TOPICS = 256;
    private static final int MAX_REASON_CHARS = 200;
    private static final int HEX_RADIX = 16;

    /**
     * Parses a query.
     *
     * @throws IllegalArgumentException if a parameter is invalid
     */
    static WatchRequest parse(QueryStringDecoder query) {
        Map<String, List<String>> parameters = query.parameters();
        Set<String> topics = readServices(parameters);
        boolean allServices = topics.isEmpty();
        String document = firstValue(parameters, "settings", "");
        if (!document.isEmpty()) {
            topics.add(VersionedEntry.settingsTopic(EntryNames.require("settings", document)));
        }
        if (topics.size() > MAX_TOPICS) {
            throw new IllegalArgumentException("too many topics: at most " + MAX_TOPICS + " are allowed");
        }
        String digest = firstValue(parameters, "digest", null);
        String peer = firstValue(parameters, "peer", "");
        return new WatchRequest(
                new ArrayList<>(topics),
                allServices,
                readNumber(parameters, "index", NO_VERSION),
                Math.min(MAX_WAIT_MS, readNumber(parameters, "wait", 0)),
                firstValue(parameters, "from", ""),
                digest == null ? null : Long.valueOf(Long.parseUnsignedLong(digest, HEX_RADIX)),
                peer.isEmpty() ? "" : EntryNames.require("peer", peer),
                readReport(parameters, document));
    }

    private static Set<String> readServices(Map<String, List<String>> parameters) {
        Set<String> services = new TreeSet<>();
        for (String list : parameters.getOrDefault("service", List.of())) {
            for (String service : list.split(",")) {
                services.add(EntryNames.require("service", service));
            }
        }
        return services;
    }

    private static WatcherReport readReport(Map<String, List<String>> parameters, String document) {
        String name = firstValue(parameters, "name", "");
        if (name.isEmpty()) {
            return null;
        }
        String applied = firstValue(parameters, "inforce", "");
        String rejected = firstValue(parameters, "refused", "");
        String reason = firstValue(parameters, "why", "");
        return new WatcherReport(
                EntryNames.require("name", name),
                document,
                applied.isEmpty() ? HybridTimestamp.NONE : HybridTimestamp.parse(applied),
                rejected.isEmpty() ? null : HybridTimestamp.parse(rejected),
                reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length())));
    }

    private static String firstValue(Map<String, List<String>> parameters, String name, String defaultValue) {
        List<String> values = parameters.get(name);
        return values == null || values.isEmpty() ? defaultValue : values.get(0);
    }

    private static long readNumber(Map<String, List<String>> parameters, String name, long defaultValue) {
        String text = firstValue(parameters, name, null);
        if (text == null) {
            return defaultValue;
        }
        long number = Long.parseLong(text);
        if (number < 0) {
            throw new IllegalArgumentException(name + " must not be negative");
        }
        return number;
    }

    static boolean isServiceTopic(String topic) {
        return !VersionedEntry.isSettingsTopic(topic);
    }

    /** Returns whether another control node sent the request; such a request covers all topics. */
    boolean isFromPeer() {
        return !peer.isEmpty();
    }

    /** Returns whether the request asks for a full snapshot. */
    boolean wantsFullSnapshot() {
        return version < 0;
    }

    /** Returns whether the request watches any of these topics. */
    boolean watchesAnyOf(Set<String> changedTopics) {
        return isFromPeer() || changedTopics.stream().anyMatch(this::watches);
    }

    private boolean watches(String topic) {
        return topics.contains(topic) || (allServices && isServiceTopic(topic));
    }
}
