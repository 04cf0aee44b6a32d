package lemonrail.time;

/**
 * Measures how late an event loop handles events, at its polls for I/O. An event handled in one iteration may have been
 * ready since the poll before, and a timer that is due while the loop is busy or not scheduled runs late. Used on the
 * event loop only; callers pass monotonic time in nanoseconds.
 */
public final class EventLoopLag {

    /** A poll that took longer has slept, so what it returned with was not ready when it began. */
    static final long SLEPT_NANOS = 1_000_000;
    /** The greatest lag is remembered for one to two such windows. */
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
     * Notes that the loop is about to poll.
     *
     * @param untilTimerNanos how long until its next timer is due
     */
    public void onPollStarted(long nowNanos, long untilTimerNanos) {
        if (pollCount > 0) {
            recordLag(nowNanos, nowNanos - pollReturnedNanos);
        }
        pollStartedNanos = nowNanos;
        timerDueNanos = nowNanos + Math.max(0, untilTimerNanos);
    }

    /** Notes that a poll has returned and the loop goes on to handle what is ready. */
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

    /** Returns how many polls have returned. */
    public long pollCount() {
        return pollCount;
    }

    /** Returns the longest time, in milliseconds, that the event being handled may have waited for the loop. */
    public double maxQueueDelayMs(long nowNanos) {
        if (pollCount == 0) {
            return 0;
        }
        boolean slept = pollReturnedNanos - pollStartedNanos > SLEPT_NANOS;
        long readySinceNanos = slept ? pollReturnedNanos : previousPollReturnedNanos;
        return (nowNanos - readySinceNanos) / NANOS_PER_MS;
    }

    /** Returns the greatest lag of the last 2 to 4 seconds, in milliseconds. */
    public double recentMaxLagMs() {
        return Math.max(windowMaxNanos, previousWindowMaxNanos) / NANOS_PER_MS;
    }

    /** Returns the bounds of the histogram, in milliseconds, ascending. */
    public static int[] histogramBoundsMs() {
        return HISTOGRAM_BOUNDS_MS.clone();
    }

    /** Returns how often the lag has exceeded the bound of this index. */
    public int countAbove(int bound) {
        return countsAbove[bound];
    }

    /** Forgets the greatest lag, so that the start of a process does not count. The histogram stays. */
    public void resetRecentMax() {
        windowMaxNanos = 0;
        previousWindowMaxNanos = 0;
    }
}
