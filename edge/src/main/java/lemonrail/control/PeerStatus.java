package lemonrail.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One peer as a node sees it.
 *
 * @param wasReached whether it has responded since this node started
 * @param ageMs the time since its last response, or since this node started
 * @param watcherSummary its own last watcher summary, as parsed JSON, or null
 */
public record PeerStatus(String name, String region, boolean wasReached, long ageMs, Object watcherSummary) {

    /** Returns the fields of the wire. */
    public Map<String, Object> toJson() {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("name", name);
        json.put("region", region);
        json.put("heard", wasReached);
        json.put("age_ms", ageMs);
        json.put("watching", watcherSummary);
        return json;
    }
}
