package lemonrail.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The fields about the node at the start of each watch response.
 *
 * @param version the current version of the node's store
 * @param bootId identifies the node process that issued the version
 * @param replicationAgeMs the time since the last response of any peer, 0 without peers
 * @param regionAgesMs for each other region, the time since the last response of any of its nodes; omitted if empty
 * @param watcherSummary the node's watcher summary as JSON fields, or null in responses to sidecars
 */
record WatchResponseHead(
        long version,
        String bootId,
        long replicationAgeMs,
        Map<String, Long> regionAgesMs,
        Map<String, Object> watcherSummary) {

    /** Returns the fields in the order of the protocol, in a map to which callers add further fields. */
    Map<String, Object> toJson() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("version", version);
        json.put("node", bootId);
        json.put("age_ms", replicationAgeMs);
        if (!regionAgesMs.isEmpty()) {
            json.put("regions", regionAgesMs);
        }
        if (watcherSummary != null) {
            json.put("watching", watcherSummary);
        }
        return json;
    }
}
