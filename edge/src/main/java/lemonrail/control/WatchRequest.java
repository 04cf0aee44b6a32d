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
 * One request of a watch, as its query says.
 *
 * @param topics the topics named, sorted
 * @param allServices whether all services are watched, as none is named
 * @param version the version to resume from, negative to request a full snapshot
 * @param waitMs how long to wait for an update
 * @param bootId identifies the process that the version is of, or empty
 * @param digest the digest over the watcher's entries, or null if it gives none
 * @param peer the name of the requesting node, empty for a sidecar
 * @param report what the watcher reports of itself, or null
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
    private static final int HEXADECIMAL = 16;

    /**
     * Parses a query.
     *
     * @throws IllegalArgumentException if a parameter is invalid, naming it
     */
    static WatchRequest parse(QueryStringDecoder query) {
        Map<String, List<String>> parameters = query.parameters();
        Set<String> topics = services(parameters);
        boolean allServices = topics.isEmpty();
        String document = first(parameters, "settings", "");
        if (!document.isEmpty()) {
            topics.add(VersionedEntry.settingsTopic(EntryNames.require("settings", document)));
        }
        if (topics.size() > MAX_TOPICS) {
            throw new IllegalArgumentException("there may be " + MAX_TOPICS + " topics at most");
        }
        String digest = first(parameters, "digest", null);
        String peer = first(parameters, "peer", "");
        return new WatchRequest(
                new ArrayList<>(topics),
                allServices,
                number(parameters, "index", NO_VERSION),
                Math.min(MAX_WAIT_MS, number(parameters, "wait", 0)),
                first(parameters, "from", ""),
                digest == null ? null : Long.valueOf(Long.parseUnsignedLong(digest, HEXADECIMAL)),
                peer.isEmpty() ? "" : EntryNames.require("peer", peer),
                report(parameters, document));
    }

    private static Set<String> services(Map<String, List<String>> parameters) {
        Set<String> services = new TreeSet<>();
        for (String list : parameters.getOrDefault("service", List.of())) {
            for (String service : list.split(",")) {
                services.add(EntryNames.require("service", service));
            }
        }
        return services;
    }

    private static WatcherReport report(Map<String, List<String>> parameters, String document) {
        String name = first(parameters, "name", "");
        if (name.isEmpty()) {
            return null;
        }
        String applied = first(parameters, "inforce", "");
        String rejected = first(parameters, "refused", "");
        String reason = first(parameters, "why", "");
        return new WatcherReport(
                EntryNames.require("name", name),
                document,
                applied.isEmpty() ? HybridTimestamp.NONE : HybridTimestamp.parse(applied),
                rejected.isEmpty() ? null : HybridTimestamp.parse(rejected),
                reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length())));
    }

    private static String first(Map<String, List<String>> parameters, String name, String defaultValue) {
        List<String> values = parameters.get(name);
        return values == null || values.isEmpty() ? defaultValue : values.get(0);
    }

    private static long number(Map<String, List<String>> parameters, String name, long defaultValue) {
        String text = first(parameters, name, null);
        if (text == null) {
            return defaultValue;
        }
        long number = Long.parseLong(text);
        if (number < 0) {
            throw new IllegalArgumentException(name + " must be 0 or more");
        }
        return number;
    }

    static boolean isServiceTopic(String topic) {
        return !VersionedEntry.isSettingsTopic(topic);
    }

    /** Returns whether another node sent it, which replicates all topics. */
    boolean isFromPeer() {
        return !peer.isEmpty();
    }

    /** Returns whether it asks for a full snapshot. */
    boolean wantsFullSnapshot() {
        return version < 0;
    }

    /** Returns whether a change of these topics concerns it. */
    boolean watchesAnyOf(Set<String> changedTopics) {
        return isFromPeer() || changedTopics.stream().anyMatch(this::watches);
    }

    private boolean watches(String topic) {
        return topics.contains(topic) || (allServices && isServiceTopic(topic));
    }
}
