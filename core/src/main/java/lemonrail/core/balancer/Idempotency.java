package lemonrail.core.balancer;

/** Whether a request that may already have run may be sent again. */
public enum Idempotency {
    /** May be sent again to any endpoint at any time. */
    IDEMPOTENT,
    /** May be sent again to endpoints of one {@link DeduplicationScope}, within the class's deduplication window. */
    KEYED,
    /** Must never run twice. */
    NON_IDEMPOTENT
}
