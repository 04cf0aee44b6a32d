package lemonrail.core.policy;

/** Whether a request is sent again after an attempt has failed, or why it is not. */
enum RetryDecision {
    RETRY,
    /** The host no longer has the complete request. */
    NOT_REPLAYABLE,
    /** Another attempt may still succeed. */
    ATTEMPT_IN_FLIGHT,
    ATTEMPT_LIMIT_REACHED,
    /** The attempt was ignored by the host, not failed by the endpoint. */
    ATTEMPT_IGNORED,
    /** A response would come too late to be of use. */
    TOO_LATE,
    /** The request may have run and must not run twice. */
    MAY_HAVE_EXECUTED,
    BUDGET_EXHAUSTED
}
