package lemonrail.http1;

import lemonrail.streaming.BufferBudget;

/**
 * The memory held by the request that a connection is reading: its head, its buffered body and its trailers. A small
 * request is always accepted, a larger one only while the budget has capacity. Confined to the connection's event loop.
 */
final class RequestMemory {

    private final BufferBudget budget;
    private long heldBytes;

    RequestMemory(BufferBudget budget) {
        this.budget = budget;
    }

    /** Counts bytes as held; returns false if the request has become too large for the memory that is left. */
    boolean acquire(long bytes) {
        heldBytes += bytes;
        budget.acquire(bytes);
        return heldBytes <= BufferBudget.GUARANTEED_BYTES || budget.hasCapacity();
    }

    /** Counts all bytes as no longer held, because the request has been passed on or discarded. */
    void releaseAll() {
        long releasedBytes = heldBytes;
        heldBytes = 0;
        budget.release(releasedBytes);
    }
}
