package lemonrail.discovery;

/** Applies settings documents. */
@FunctionalInterface
public interface SettingsHandler {
    /**
     * Applies a document as a whole or not at all; called on the event loop.
     *
     * @param document its content, null if there is none any more
     */
    SettingsOutcome apply(String document);
}
