package lemonrail.control;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The status of one peer, as seen by this node.
 *
 * @param wasReached whether the peer has responded since this node started
 * @param ageMs the time since the peer's last response, or since this node started if there was none
 * @param watcherSummary the watcher summary of the peer's last response as parsed JSON, or null
 */
public record PeerStatus(String name, String region, boolean wasReached, long ageMs, Object watcherSummary) {

    /** Returns the fields of the JSON object that describes this peer. */
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
