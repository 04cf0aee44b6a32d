package lemonrail.streaming;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Bounds the memory that the requests and responses of all connections hold: heads, buffered bodies and what is not
 * written yet. Bytes that have already been read are always accepted, so the bound can be exceeded. While it is reached
 * or exceeded, connections with unwritten bytes are not read, and requests that hold more than
 * {@link #GUARANTEED_BYTES} are rejected. Used on the event loop only.
 */
public final class BufferBudget {

    /** What each request may hold even if the budget is used up. */
    public static final int GUARANTEED_BYTES = 10 * 1024;

    private final long totalBytes;
    private long maxBytes;
    private final Set<Runnable> waitingTasks = new LinkedHashSet<>();
    private long bufferedBytes;

    /** Creates a budget with the given number of bytes. */
    public BufferBudget(long maxBytes) {
        totalBytes = maxBytes;
        this.maxBytes = maxBytes;
    }

    /** Sets whether another process uses half of the budget. */
    public void setShared(boolean shared) {
        maxBytes = shared ? totalBytes / 2 : totalBytes;
        release(0);
    }

    /** Returns the maximum number of bytes held. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns how many bytes are held now. */
    public long heldBytes() {
        return bufferedBytes;
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
