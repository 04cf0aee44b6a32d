package lemonrail.core.balancer;

/** Which endpoints together drop the repeats of a {@link Idempotency#KEYED} request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** Returns whether both endpoints drop the repeats of the same requests. */
    public boolean includesBoth(Endpoint one, Endpoint other) {
        return this == ALL || (this == ZONE ? one.zone() == other.zone() : one.cell() == other.cell());
    }
}
