package lemonrail.discovery;

import lemonrail.core.replication.HybridTimestamp;
import lemonrail.logging.EventLog;

/**
 * The settings document that a watcher follows. Keeps which version was applied, which was rejected, and why.
 * Belongs to the event loop.
 */
final class SettingsSubscription {

    private static final int MAX_REASON_CHARS = 200;

    private final String document;
    private final EventLog log;
    private SettingsHandler handler =
            text -> new SettingsOutcome.Rejected("this edge does not support settings changes at run time");
    private HybridTimestamp applied = HybridTimestamp.NONE;
    /** The last version rejected after the applied one, or null if none was. */
    private HybridTimestamp rejected;

    private String rejectionReason = "";

    /**
     * Creates a subscription.
     *
     * @param document the document's name, or null to follow none
     */
    SettingsSubscription(String document, EventLog log) {
        this.document = document;
        this.log = log;
    }

    void setHandler(SettingsHandler newHandler) {
        handler = newHandler;
    }

    /** Appends the document's name and its applied and rejected versions to the URI of a watch request. */
    void appendTo(WatchUri uri) {
        if (document == null) {
            return;
        }
        uri.add("settings", document);
        if (!applied.equals(HybridTimestamp.NONE)) {
            uri.addEncoded("inforce", applied.encode());
        }
        if (rejected != null) {
            uri.addEncoded("refused", rejected.encode()).addEncoded("why", rejectionReason);
        }
    }

    /** Handles the removal of the document; the settings of the edge's own file are applied again. */
    void onRemoved() {
        onVersion(null, HybridTimestamp.NONE);
    }

    /**
     * Applies a new version of the document and records the outcome.
     *
     * @param text the document's content, or null if it was removed
     */
    void onVersion(String text, HybridTimestamp timestamp) {
        if (handler.apply(text) instanceof SettingsOutcome.Rejected rejection) {
            recordRejected(timestamp, rejection.reason());
        } else {
            recordApplied(text, timestamp);
        }
    }

    private void recordApplied(String text, HybridTimestamp timestamp) {
        applied = text == null ? HybridTimestamp.NONE : timestamp;
        rejected = null;
        rejectionReason = "";
        log.info(
                "settings_taken",
                "settings " + document + " applied, version " + timestamp.encode(),
                "document",
                document,
                "stamp",
                timestamp.encode());
    }

    private void recordRejected(HybridTimestamp timestamp, String reason) {
        rejected = timestamp;
        rejectionReason = reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length()));
        log.warn(
                "settings_refused",
                "settings " + document + " rejected, the previous ones stay in force: " + reason,
                "document",
                document,
                "stamp",
                timestamp.encode());
    }
}
