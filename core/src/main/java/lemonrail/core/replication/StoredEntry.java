package lemonrail.core.replication;

/**
 * An entry as one node stores it.
 *
 * @param entry the winning version
 * @param arrival its number in the node's order of arrival, see {@link ArrivalIndex}
 * @param receivedFrom the node that sent it, empty for a local write
 */
record StoredEntry(VersionedEntry entry, long arrival, String receivedFrom) {

    boolean isRemoved() {
        return entry.removed();
    }
}
