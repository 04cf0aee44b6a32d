package lemonrail.core.replication;

/**
 * The report that a watcher sends with a request.
 *
 * @param watcher its name
 * @param document the settings document that it follows; empty if none
 * @param applied the version of the document that it applies; {@link HybridTimestamp#NONE} if it applies its local file
 * @param rejected the last version that it rejected, or null
 * @param rejectionReason the reason in one line; empty if nothing was rejected
 */
public record WatcherReport(
        String watcher, String document, HybridTimestamp applied, HybridTimestamp rejected, String rejectionReason) {

    /** Returns whether the watcher has rejected a version newer than the one that it applies. */
    public boolean hasRejectedNewer() {
        return rejected != null && rejected.compareTo(applied) > 0;
    }
}
