package lemonrail.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.replication.VersionedEntry;

/**
 * The status of a control node, as the admin API shows it.
 *
 * @param version the current version of the node's store
 * @param entryCount the number of live entries
 * @param tombstoneCount the number of tombstones
 * @param replicationAgeMs the time since the last response of any peer, 0 without peers
 * @param regionAgesMs for each other region, the time since the last response of any of its nodes
 * @param watchers the summary of the watchers at this node
 * @param settings the live settings documents
 */
public record ControlNodeStatus(
        String name,
        String region,
        boolean ready,
        long version,
        int entryCount,
        int tombstoneCount,
        long replicationAgeMs,
        Map<String, Long> regionAgesMs,
        List<PeerStatus> peers,
        WatcherSummary watchers,
        List<VersionedEntry> settings) {

    /** Returns the fields of the response to {@code GET /v1/control}. */
    public Map<String, Object> toJson() {
        List<Object> peersJson = new ArrayList<>();
        peers.forEach(peer -> peersJson.add(peer.toJson()));
        List<Object> settingsJson = new ArrayList<>();
        settings.forEach(entry -> settingsJson.add(documentJson(entry)));
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("node", name);
        json.put("region", region);
        json.put("ready", ready);
        json.put("version", version);
        json.put("items", entryCount);
        json.put("removed", tombstoneCount);
        json.put("age_ms", replicationAgeMs);
        json.put("regions", regionAgesMs);
        json.put("peers", peersJson);
        json.put("watching", watchers.toJson());
        json.put("settings", settingsJson);
        return json;
    }

    private static Map<String, Object> documentJson(VersionedEntry entry) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("name", entry.id());
        json.put("stamp", entry.timestamp().encode());
        return json;
    }
}
