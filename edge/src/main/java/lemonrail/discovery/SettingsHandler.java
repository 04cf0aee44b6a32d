package lemonrail.discovery;

/** Applies settings documents. */
@FunctionalInterface
public interface SettingsHandler {
    /**
     * Applies a document completely or not at all; called on the event loop.
     *
     * @param document the document's content, or null if it was removed
     */
    SettingsOutcome apply(String document);
}
