package lemonrail.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests how the lag of an event loop is measured from the times of its polls. */
class EventLoopLagTest {

    private static final long FAR_MS = 1000;

    private final EventLoopLag lag = new EventLoopLag();
    private long nowMs = 100;

    /** Simulates one iteration, which is a poll and the work that follows it. */
    private void runIteration(long pollMs, long untilTimerMs, long workMs) {
        lag.onPollStarted(nanos(nowMs), nanos(untilTimerMs));
        nowMs += pollMs;
        lag.onPollReturned(nanos(nowMs));
        nowMs += workMs;
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private double maxQueueDelayMs() {
        return lag.maxQueueDelayMs(nanos(nowMs));
    }

    @Test
    void loopWithoutMeasurementsHasNoLag() {
        assertEquals(0, maxQueueDelayMs());
        assertEquals(0, lag.recentMaxLagMs());
    }

    @Test
    void eventThatWakesTheLoopHasWaitedSinceThePollReturned() {
        runIteration(50, FAR_MS, 7);
        assertEquals(7, maxQueueDelayMs());
    }

    @Test
    void eventReadyAtOnceMayHaveWaitedSinceThePreviousPoll() {
        runIteration(50, FAR_MS, 200);
        runIteration(0, FAR_MS, 3);
        assertEquals(203, maxQueueDelayMs());
    }

    @Test
    void workBetweenPollsCountsAsLag() {
        runIteration(50, FAR_MS, 80);
        runIteration(0, FAR_MS, 0);
        assertEquals(80, lag.recentMaxLagMs());
    }

    @Test
    void pollThatReturnsAfterItsTimerCountsAsLag() {
        runIteration(50, 20, 0);
        assertEquals(30, lag.recentMaxLagMs());
    }

    @Test
    void pollThatReturnsBeforeItsTimerIsNoLag() {
        runIteration(50, FAR_MS, 0);
        assertEquals(0, lag.recentMaxLagMs());
    }

    @Test
    void recentMaxIsKeptForOneWindowAndDroppedAfterTwo() {
        long windowMs = TimeUnit.NANOSECONDS.toMillis(EventLoopLag.WINDOW_NANOS);
        runIteration(50, FAR_MS, 80);
        runIteration(windowMs, windowMs + FAR_MS, 0);
        assertEquals(80, lag.recentMaxLagMs());
        runIteration(2 * windowMs, 2 * windowMs + FAR_MS, 0);
        assertEquals(0, lag.recentMaxLagMs());
    }

    @Test
    void lagIsCountedForEachHistogramBoundBelowIt() {
        runIteration(50, FAR_MS, 80);
        runIteration(0, FAR_MS, 0);
        assertEquals(
                List.of(1, 1, 1, 0, 0),
                IntStream.range(0, EventLoopLag.histogramBoundsMs().length)
                        .mapToObj(lag::countAbove)
                        .toList());
    }

    @Test
    void resetClearsTheRecentMax() {
        runIteration(50, FAR_MS, 400);
        runIteration(0, FAR_MS, 0);
        lag.resetRecentMax();
        assertEquals(0, lag.recentMaxLagMs());
    }
}
