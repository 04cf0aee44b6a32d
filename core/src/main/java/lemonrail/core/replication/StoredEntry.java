package lemonrail.core.replication;

/**
 * An entry as one node stores it.
 *
 * @param entry the winning version
 * @param arrival its arrival number at this node, see {@link ArrivalIndex}
 * @param receivedFrom the node from which it was received; empty for a local write
 */
record StoredEntry(VersionedEntry entry, long arrival, String receivedFrom) {

    boolean isRemoved() {
        return entry.removed();
    }
}
