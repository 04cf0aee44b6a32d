package lemonrail.core.balancer;

/** How an attempt ended. */
public enum AttemptOutcome {
    OK,
    FAILED,
    QUEUE_FULL,
    TIMED_OUT,
    CONNECT_ERROR,
    RESET,
    CANCELED,
    IGNORED;

    /** Returns whether this outcome proves that the endpoint never began the request. */
    public boolean provesNotExecuted() {
        return this == QUEUE_FULL || this == CONNECT_ERROR || this == IGNORED;
    }
}
