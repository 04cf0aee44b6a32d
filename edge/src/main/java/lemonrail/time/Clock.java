package lemonrail.time;

/**
 * The one clock of a sidecar, in milliseconds: it runs with the monotonic clock, so it never goes back, and
 * was set once to Unix time, because discovery tells in Unix time when an endpoint started.
 */
public final class Clock {

    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final EventLoopLag lag;

    /** A clock for a loop whose lateness nobody measures: it counts as prompt. */
    public Clock() {
        this(new EventLoopLag());
    }

    /** The clock of the event loop that this measures. */
    public Clock(EventLoopLag lag) {
        this.lag = lag;
    }

    /** Milliseconds, on the scale of Unix time. */
    public double now() {
        return startMs + (System.nanoTime() - startNanos) / 1e6;
    }

    /** The longest, in milliseconds, that what its event loop handles now can have waited for the loop. */
    public double maxQueueDelayMs() {
        return lag.maxQueueDelayMs(System.nanoTime());
    }

    /** How late the event loop is. */
    public EventLoopLag lag() {
        return lag;
    }
}
