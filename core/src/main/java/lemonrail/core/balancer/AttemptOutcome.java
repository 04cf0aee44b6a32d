package lemonrail.core.balancer;

/** How an attempt ended. */
public enum AttemptOutcome {
    /** The endpoint served the request. */
    OK,
    /** The endpoint failed; the request may have run. */
    FAILED,
    /** The endpoint rejected the request without running it. */
    QUEUE_FULL,
    /** No response arrived in time; the request may have run, or may still run. */
    TIMED_OUT,
    /** No connection was established, or it broke before the request was written. */
    CONNECT_ERROR,
    /** The connection broke after the request was written; it may have run. */
    RESET,
    /** The attempt was cancelled by its balancer or its client. */
    CANCELED,
    /** The host did not start the attempt, or the endpoint rejected the request as invalid. */
    IGNORED;

    /** Returns whether this outcome proves that the endpoint never began the request. */
    public boolean provesNotExecuted() {
        return this == QUEUE_FULL || this == CONNECT_ERROR || this == IGNORED;
    }
}
