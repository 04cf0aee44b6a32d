package lemonrail.streaming;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the body bytes that all connections together hold. Bytes that have been read are always accepted, so the bound
 * can be exceeded; while it is reached, connections with unwritten bytes are not read. Used on the event loop only.
 */
public final class BufferBudget {

    private final long maxBytes;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private long heldBytes;

    /** Creates a budget of this many bytes. */
    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts bytes as held, also beyond the bound. */
    public void acquire(long bytes) {
        heldBytes += bytes;
    }

    /** Counts bytes as held no longer, and notifies all that wait if there is capacity. */
    public void release(long bytes) {
        heldBytes -= bytes;
        if (!waiting.isEmpty() && hasCapacity()) {
            List<Runnable> notified = List.copyOf(waiting);
            waiting.clear();
            notified.forEach(Runnable::run);
        }
    }

    /** Returns whether more bytes may be read. */
    public boolean hasCapacity() {
        return heldBytes < maxBytes;
    }

    /** Runs a task once, when there is capacity; a task that waits already is not added again. */
    void notifyWhenAvailable(Runnable onCapacity) {
        waiting.add(onCapacity);
    }

    void cancelNotification(Runnable onCapacity) {
        waiting.remove(onCapacity);
    }
}
