package lemonrail.core.balancer;

/** The group of endpoints that together recognise and drop the repeats of a {@link Idempotency#KEYED} request. */
public enum DeduplicationScope {
    ALL,
    ZONE,
    CELL;

    /** Returns whether the two endpoints drop the repeats of each other's requests. */
    public boolean includesBoth(Endpoint one, Endpoint other) {
        return this == ALL || (this == ZONE ? one.zone() == other.zone() : one.cell() == other.cell());
    }
}
