package lemonrail.control;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.VersionedEntry;

/**
 * One watch response of a peer.
 *
 * @param version the peer's version, to resume from
 * @param bootId identifies the peer's process, whose version it is
 * @param full whether the entries are a full snapshot
 * @param entries those that could be decoded
 * @param acknowledgedVersions the peer's acknowledged version vector
 * @param watcherSummary the peer's watchers as parsed JSON, or null
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
     * @param onInvalidEntry receives the problem of each entry that is left out
     * @throws IllegalArgumentException if the body is not that of a control node
     */
    static PeerResponse decode(byte[] body, Consumer<String> onInvalidEntry) {
        Map<?, ?> fields = EntryCodec.parseObject(body);
        if (!(fields.get("version") instanceof Double version) || !(fields.get("node") instanceof String bootId)) {
            throw new IllegalArgumentException("it is no control node");
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
