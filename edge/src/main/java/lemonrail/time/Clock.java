package lemonrail.time;

import java.time.Instant;

/**
 * The clock of a process, in milliseconds. It starts at the Unix time of its creation and advances with the monotonic
 * clock. It therefore never runs backwards, and its times can be compared with the Unix times that discovery reports
 * and with those of other processes.
 */
public final class Clock {

    private static final double NANOS_PER_MS = 1e6;
    private static final double MS_PER_SECOND = 1e3;
    /** Both clocks are read again if the thread may have been interrupted between the readings. */
    private static final long MAX_START_READING_NANOS = 20_000;

    private static final int MAX_START_READINGS = 10;

    private final Start start = Start.read();
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
        return start.unixMs() + (System.nanoTime() - start.monotonicNanos()) / NANOS_PER_MS;
    }

    /** Returns the longest time in milliseconds that the event being handled may have waited for the event loop. */
    public double maxQueueDelayMs() {
        return lag.maxQueueDelayMs(System.nanoTime());
    }

    /** Returns the lag of the event loop. */
    public EventLoopLag lag() {
        return lag;
    }

    /**
     * The same instant on both clocks of the system.
     *
     * @param readingNanos how long the readings took, which bounds the difference between the clocks
     */
    private record Start(double unixMs, long monotonicNanos, long readingNanos) {

        /** Reads both clocks, repeatedly if the readings are too far apart, and returns the closest readings. */
        static Start read() {
            Start closest = readOnce();
            for (int i = 1; i < MAX_START_READINGS && closest.readingNanos > MAX_START_READING_NANOS; i++) {
                Start next = readOnce();
                closest = next.readingNanos < closest.readingNanos ? next : closest;
            }
            return closest;
        }

        private static Start readOnce() {
            long beforeNanos = System.nanoTime();
            Instant unixTime = Instant.now();
            long readingNanos = System.nanoTime() - beforeNanos;
            double unixMs = unixTime.getEpochSecond() * MS_PER_SECOND + unixTime.getNano() / NANOS_PER_MS;
            return new Start(unixMs, beforeNanos, readingNanos);
        }
    }
}
