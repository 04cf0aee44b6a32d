package lemonrail.discovery;

import lemonrail.core.replication.HybridTimestamp;
import lemonrail.logging.EventLog;

/**
 * The settings document that a watcher follows: which version is applied, and which was rejected and why.
 * Belongs to the event loop.
 */
final class SettingsSubscription {

    private static final int MAX_REASON_CHARS = 200;

    private final String document;
    private final EventLog log;
    private SettingsHandler handler = text -> new SettingsOutcome.Rejected("this edge takes no settings while it runs");
    private HybridTimestamp applied = HybridTimestamp.NONE;
    /** The last version rejected since one was applied, or null. */
    private HybridTimestamp rejected;

    private String rejectionReason = "";

    /**
     * Creates a subscription to a document, or to none.
     *
     * @param document its name, or null
     */
    SettingsSubscription(String document, EventLog log) {
        this.document = document;
        this.log = log;
    }

    void setHandler(SettingsHandler newHandler) {
        handler = newHandler;
    }

    /** Appends what is reported of the document to the URI of a watch. */
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

    /** Handles the removal of the document: the settings of the own file are in force again. */
    void onRemoved() {
        onVersion(null, HybridTimestamp.NONE);
    }

    /**
     * Handles a new version of the document.
     *
     * @param text its content, null for a removal
     */
    void onVersion(String text, HybridTimestamp timestamp) {
        if (handler.apply(text) instanceof SettingsOutcome.Rejected rejection) {
            reject(timestamp, rejection.reason());
        } else {
            accept(text, timestamp);
        }
    }

    private void accept(String text, HybridTimestamp timestamp) {
        applied = text == null ? HybridTimestamp.NONE : timestamp;
        rejected = null;
        rejectionReason = "";
        log.info(
                "settings_taken",
                "settings " + document + " are in force: " + timestamp.encode(),
                "document",
                document,
                "stamp",
                timestamp.encode());
    }

    private void reject(HybridTimestamp timestamp, String reason) {
        rejected = timestamp;
        rejectionReason = reason.substring(0, Math.min(MAX_REASON_CHARS, reason.length()));
        log.warn(
                "settings_refused",
                "settings " + document + " stay as they were: " + reason,
                "document",
                document,
                "stamp",
                timestamp.encode());
    }
}
