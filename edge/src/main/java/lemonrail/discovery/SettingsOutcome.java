package lemonrail.discovery;

/** The outcome of applying a settings document, which is applied completely or not at all. */
public sealed interface SettingsOutcome {

    /** The document was applied. */
    record Applied() implements SettingsOutcome {}

    /**
     * The document was rejected; the previous settings stay in force.
     *
     * @param reason why the document was rejected
     */
    record Rejected(String reason) implements SettingsOutcome {}
}
