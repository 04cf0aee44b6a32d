package lemonrail.streaming;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the total number of body bytes that all connections buffer. Bytes that have already been read are always
 * accepted, so the bound can be exceeded. While it is reached or exceeded, connections with unwritten bytes are not
 * read. Used on the event loop only.
 */
public final class BufferBudget {

    private final long maxBytes;
    private final Set<Runnable> waitingTasks = new LinkedHashSet<>();
    private long bufferedBytes;

    /** Creates a budget with the given number of bytes. */
    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Counts bytes as buffered, even if this exceeds the bound. */
    public void acquire(long bytes) {
        bufferedBytes += bytes;
    }

    /** Counts bytes as no longer buffered, and runs all waiting tasks if there is capacity. */
    public void release(long bytes) {
        bufferedBytes -= bytes;
        if (!waitingTasks.isEmpty() && hasCapacity()) {
            List<Runnable> tasksToRun = List.copyOf(waitingTasks);
            waitingTasks.clear();
            tasksToRun.forEach(Runnable::run);
        }
    }

    /** Returns whether more bytes may be read. */
    public boolean hasCapacity() {
        return bufferedBytes < maxBytes;
    }

    /** Returns whether at most half of the budget is used. */
    boolean isHalfFree() {
        return bufferedBytes <= maxBytes / 2;
    }

    /** Runs a task once, as soon as there is capacity. A task that is already waiting is not added again. */
    void notifyWhenAvailable(Runnable onCapacity) {
        waitingTasks.add(onCapacity);
    }

    void cancelNotification(Runnable onCapacity) {
        waitingTasks.remove(onCapacity);
    }
}
