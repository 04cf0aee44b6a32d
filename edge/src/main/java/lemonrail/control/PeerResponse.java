package lemonrail.control;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.VersionedEntry;

/**
 * One watch response of a peer.
 *
 * @param version the peer's version, from which the next request resumes
 * @param bootId identifies the peer process that issued the version
 * @param full whether the response is a full snapshot
 * @param entries the valid entries of the response
 * @param acknowledgedVersions the peer's acknowledged version vector
 * @param watcherSummary the peer's watcher summary as parsed JSON, or null
 */
record PeerResponse(
        long version,
        String bootId,
        boolean full,
        List<VersionedEntry> entries,
        Map<String, HybridTimestamp> acknowledgedVersions,
        Object watcherSummary) {

    /**
     * Decodes a response body.
     *
     * @param onInvalidEntry receives the problem of each skipped entry
     * @throws IllegalArgumentException if the body is not a control node's response
     */
    static PeerResponse decode(byte[] body, Consumer<String> onInvalidEntry) {
        Map<?, ?> fields = EntryCodec.parseObject(body);
        if (!(fields.get("version") instanceof Double version) || !(fields.get("node") instanceof String bootId)) {
            throw new IllegalArgumentException(
                    "response is not from a control node: field version or node is missing or has the wrong type");
        }
        return new PeerResponse(
                version.longValue(),
                bootId,
                Boolean.TRUE.equals(fields.get("full")),
                EntryCodec.decodeEntries(fields, onInvalidEntry),
                EntryCodec.decodeVersions(fields),
                fields.get("watching"));
    }
}
