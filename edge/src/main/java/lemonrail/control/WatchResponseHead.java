package lemonrail.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The fields that a node adds to each watch response.
 *
 * @param version the current version of its store
 * @param bootId identifies the node's process, whose version it is
 * @param replicationAgeMs the time since any peer was received, 0 without peers
 * @param regionAgesMs the same for each other region; left out if empty
 * @param watcherSummary its watchers as JSON, or null in responses to sidecars
 */
record WatchResponseHead(
        long version,
        String bootId,
        long replicationAgeMs,
        Map<String, Long> regionAgesMs,
        Map<String, Object> watcherSummary) {

    /** Returns the fields in the order of the wire, to be completed. */
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
