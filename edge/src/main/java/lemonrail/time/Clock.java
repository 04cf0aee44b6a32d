package lemonrail.time;

/**
 * The clock of a sidecar, in milliseconds. It starts at the Unix time of its creation and advances with the monotonic
 * clock. It therefore never runs backwards, and its times can be compared with the Unix times that discovery reports.
 */
public final class Clock {

    private static final double NANOS_PER_MS = 1e6;

    private final double startMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final EventLoopLag lag;

    /** Creates a clock for an event loop whose lag is not measured; the lag is reported as 0. */
    public Clock() {
        this(new EventLoopLag());
    }

    /** Creates a clock for an event loop whose lag is measured. */
    public Clock(EventLoopLag lag) {
        this.lag = lag;
    }

    /** Returns the time in milliseconds since the Unix epoch. */
    public double now() {
        return startMs + (System.nanoTime() - startNanos) / NANOS_PER_MS;
    }

    /** Returns the longest time in milliseconds that the event being handled may have waited for the event loop. */
    public double maxQueueDelayMs() {
        return lag.maxQueueDelayMs(System.nanoTime());
    }

    /** Returns the lag of the event loop. */
    public EventLoopLag lag() {
        return lag;
    }
}
