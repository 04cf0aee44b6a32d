package lemonrail.core.replication;

/** The outcome of writing or merging one version of an entry. */
public enum MergeOutcome {
    /** The version won and was stored. */
    APPLIED,
    /** The same version, or a removal of an absent entry: nothing changed. */
    ALREADY_KNOWN,
    /** A newer version, or a removal whose tombstone was dropped, wins: nothing changed. */
    SUPERSEDED,
    /** Rejected: the timestamp is too far ahead of the local clock. */
    CLOCK_AHEAD,
    /** Rejected: the store has reached one of its bounds. */
    STORE_FULL;

    /** Returns whether the version was rejected by a bound, not by a newer version. */
    public boolean isRejected() {
        return this == CLOCK_AHEAD || this == STORE_FULL;
    }
}
