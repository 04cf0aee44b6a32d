package lemonrail.time;

/**
 * How late an event loop attends to what happens, measured at its polls for I/O. What an iteration handles
 * may have been ready since the poll before it, and a timer that falls due while the loop is busy, or while
 * something else has its processor, runs late. Belongs to the loop; times come in from outside.
 */
public final class EventLoopLag {

    /** A poll that took longer than this has slept: what it returned with was not ready when it began. */
    static final long SLEPT_NANOS = 1_000_000;
    /** The greatest lateness is remembered for one to two such spans. */
    static final long SPAN_NANOS = 2_000_000_000L;
    /** Bounds of the histogram: how often the loop was later than each, in milliseconds. */
    private static final int[] BOUNDS_MS = {1, 5, 20, 100, 500};

    private static final double NANOS_PER_MS = 1e6;

    private long pollCount;
    private long pollingAt;
    private long polledAt;
    private long previouslyPolledAt;
    private long dueAt;
    private long spanBegan;
    private long greatestNanos;
    private long previousGreatestNanos;
    private final int[] over = new int[BOUNDS_MS.length];

    /**
     * The loop is about to poll.
     *
     * @param nowNanos the monotonic time
     * @param untilTimerNanos how long until its next timer is due
     */
    public void onPollStarted(long nowNanos, long untilTimerNanos) {
        if (pollCount > 0) {
            recordLag(nowNanos, nowNanos - polledAt);
        }
        pollingAt = nowNanos;
        dueAt = nowNanos + Math.max(0, untilTimerNanos);
    }

    /** The poll has returned at this monotonic time, and what is ready is handled next. */
    public void onPollReturned(long nowNanos) {
        previouslyPolledAt = pollCount == 0 ? pollingAt : polledAt;
        polledAt = nowNanos;
        pollCount++;
        recordLag(nowNanos, nowNanos - dueAt);
    }

    private void recordLag(long nowNanos, long byNanos) {
        for (int i = 0; i < over.length && byNanos > BOUNDS_MS[i] * NANOS_PER_MS; i++) {
            over[i]++;
        }
        long spans = (nowNanos - spanBegan) / SPAN_NANOS;
        if (spans > 0) {
            previousGreatestNanos = spans == 1 ? greatestNanos : 0;
            greatestNanos = 0;
            spanBegan = nowNanos;
        }
        greatestNanos = Math.max(greatestNanos, byNanos);
    }

    /** How many polls there have been. */
    public long pollCount() {
        return pollCount;
    }

    /** The longest that what is handled now can have waited for the loop, in milliseconds. */
    public double maxQueueDelayMs(long nowNanos) {
        boolean slept = polledAt - pollingAt > SLEPT_NANOS;
        return pollCount == 0 ? 0 : (nowNanos - (slept ? polledAt : previouslyPolledAt)) / NANOS_PER_MS;
    }

    /** The greatest lateness of the last few seconds, in milliseconds. */
    public double recentMaxLagMs() {
        return Math.max(greatestNanos, previousGreatestNanos) / NANOS_PER_MS;
    }

    /** The bounds of the histogram, in milliseconds, rising. */
    public static int[] histogramBoundsMs() {
        return BOUNDS_MS.clone();
    }

    /** How often the loop has been later than the bound of this index. */
    public int countAbove(int bound) {
        return over[bound];
    }

    /** Leaves out what was measured so far, as once a process has started. */
    public void resetRecentMax() {
        greatestNanos = 0;
        previousGreatestNanos = 0;
    }
}
