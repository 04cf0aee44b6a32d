package lemonrail.streaming;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The bytes of bodies that all connections together may hold. What comes is always taken, as it has been read
 * already; where the budget is used up, nobody reads on who still has something waiting to be written.
 */
public final class BufferBudget {

    private final long most;
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private long held;

    /** A budget of so many bytes. */
    public BufferBudget(long most) {
        this.most = most;
    }

    /** These bytes are held from now on. */
    public void acquire(long bytes) {
        held += bytes;
    }

    /** These bytes are not held any more; whoever waited for room is told that there is some. */
    public void release(long bytes) {
        held -= bytes;
        if (!waiting.isEmpty() && hasCapacity()) {
            List<Runnable> told = List.copyOf(waiting);
            waiting.clear();
            told.forEach(Runnable::run);
        }
    }

    /** Whether more may be read in. */
    public boolean hasCapacity() {
        return held < most;
    }

    /** Has this run once, as soon as there is room. */
    void notifyWhenAvailable(Runnable wake) {
        waiting.add(wake);
    }

    void cancelNotification(Runnable wake) {
        waiting.remove(wake);
    }
}
