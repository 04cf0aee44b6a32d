package lemonrail.discovery;

/** The outcome of applying a settings document: as a whole or not at all. */
public sealed interface SettingsOutcome {

    /** The document is in force. */
    record Applied() implements SettingsOutcome {}

    /**
     * The former settings stay in force.
     *
     * @param reason why the document was rejected
     */
    record Rejected(String reason) implements SettingsOutcome {}
}
