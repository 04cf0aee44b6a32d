package lemonrail.time;

/**
 * Measures at each poll for I/O how late an event loop handles events. An event handled in one iteration may have been
 * ready since the previous poll. A timer that is due while the loop is busy, or its thread is not scheduled, runs late.
 * Used on the event loop only. Callers pass monotonic time in nanoseconds.
 */
public final class EventLoopLag {

    /** A poll that took longer than this has slept, so the events that it returned were not ready when it started. */
    static final long MIN_SLEEP_NANOS = 1_000_000;
    /** The maximum lag is remembered for one to two windows of this length. */
    static final long WINDOW_NANOS = 2_000_000_000L;

    private static final int[] HISTOGRAM_BOUNDS_MS = {1, 5, 20, 100, 500};

    private static final double NANOS_PER_MS = 1e6;

    private final int[] countsAbove = new int[HISTOGRAM_BOUNDS_MS.length];
    private long pollCount;
    private long pollStartedNanos;
    private long pollReturnedNanos;
    private long previousPollReturnedNanos;
    private long timerDueNanos;
    private long windowStartNanos;
    private long windowMaxNanos;
    private long previousWindowMaxNanos;

    /**
     * Records that the loop is about to poll.
     *
     * @param untilTimerNanos the time until the loop's next timer is due
     */
    public void onPollStarted(long nowNanos, long untilTimerNanos) {
        if (pollCount > 0) {
            recordLag(nowNanos, nowNanos - pollReturnedNanos);
        }
        pollStartedNanos = nowNanos;
        timerDueNanos = nowNanos + Math.max(0, untilTimerNanos);
    }

    /** Records that a poll has returned, and that the loop now handles the ready events. */
    public void onPollReturned(long nowNanos) {
        previousPollReturnedNanos = pollCount == 0 ? pollStartedNanos : pollReturnedNanos;
        pollReturnedNanos = nowNanos;
        pollCount++;
        recordLag(nowNanos, nowNanos - timerDueNanos);
    }

    private void recordLag(long nowNanos, long lagNanos) {
        for (int i = 0; i < countsAbove.length && lagNanos > HISTOGRAM_BOUNDS_MS[i] * NANOS_PER_MS; i++) {
            countsAbove[i]++;
        }
        startWindowIfDue(nowNanos);
        windowMaxNanos = Math.max(windowMaxNanos, lagNanos);
    }

    private void startWindowIfDue(long nowNanos) {
        long windowsPassed = (nowNanos - windowStartNanos) / WINDOW_NANOS;
        if (windowsPassed > 0) {
            previousWindowMaxNanos = windowsPassed == 1 ? windowMaxNanos : 0;
            windowMaxNanos = 0;
            windowStartNanos = nowNanos;
        }
    }

    /** Returns the number of polls that have returned. */
    public long pollCount() {
        return pollCount;
    }

    /** Returns the longest time in milliseconds that the event being handled may have waited for the loop. */
    public double maxQueueDelayMs(long nowNanos) {
        if (pollCount == 0) {
            return 0;
        }
        boolean slept = pollReturnedNanos - pollStartedNanos > MIN_SLEEP_NANOS;
        long readySinceNanos = slept ? pollReturnedNanos : previousPollReturnedNanos;
        return (nowNanos - readySinceNanos) / NANOS_PER_MS;
    }

    /** Returns the maximum lag of the last 2 to 4 seconds, in milliseconds. */
    public double recentMaxLagMs() {
        return Math.max(windowMaxNanos, previousWindowMaxNanos) / NANOS_PER_MS;
    }

    /** Returns the bounds of the lag histogram, in milliseconds and in ascending order. */
    public static int[] histogramBoundsMs() {
        return HISTOGRAM_BOUNDS_MS.clone();
    }

    /** Returns how often the lag has exceeded the bound with this index in {@link #histogramBoundsMs}. */
    public int countAbove(int boundIndex) {
        return countsAbove[boundIndex];
    }

    /**
     * Resets the recent maximum lag, so that lag during the start of the process does not count. The histogram is kept.
     */
    public void resetRecentMax() {
        windowMaxNanos = 0;
        previousWindowMaxNanos = 0;
    }
}
