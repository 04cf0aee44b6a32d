package lemonrail.time;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** How late a loop counts as, by the times of its polls. */
class EventLoopLagTest {

    private static final long FAR_MS = 1000;

    private final EventLoopLag lag = new EventLoopLag();
    private long nowMs = 100;

    /** One iteration: a poll that takes so long, and the work that follows. */
    private void iteration(long pollMs, long untilTimerMs, long workMs) {
        lag.onPollStarted(nanos(nowMs), nanos(untilTimerMs));
        nowMs += pollMs;
        lag.onPollReturned(nanos(nowMs));
        nowMs += workMs;
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }

    private double waitedMs() {
        return lag.maxQueueDelayMs(nanos(nowMs));
    }

    @Test
    void aLoopThatNobodyMeasuresIsPrompt() {
        assertEquals(0, waitedMs());
        assertEquals(0, lag.recentMaxLagMs());
    }

    @Test
    void whatWakesTheLoopHasWaitedOnlySinceThen() {
        iteration(50, FAR_MS, 7);
        assertEquals(7, waitedMs());
    }

    @Test
    void whatIsReadyAtOnceMayHaveComeRightAfterThePollBefore() {
        iteration(50, FAR_MS, 200);
        iteration(0, FAR_MS, 3);
        assertEquals(203, waitedMs());
    }

    @Test
    void workBetweenPollsIsLateness() {
        iteration(50, FAR_MS, 80);
        iteration(0, FAR_MS, 0);
        assertEquals(80, lag.recentMaxLagMs());
    }

    @Test
    void aPollThatOutlastsItsTimerIsLateness() {
        iteration(50, 20, 0);
        assertEquals(30, lag.recentMaxLagMs());
    }

    @Test
    void aPollThatEndsBeforeItsTimerIsNone() {
        iteration(50, FAR_MS, 0);
        assertEquals(0, lag.recentMaxLagMs());
    }

    @Test
    void latenessIsRememberedForASpanAndForgottenAfterTwo() {
        long spanMs = TimeUnit.NANOSECONDS.toMillis(EventLoopLag.SPAN_NANOS);
        iteration(50, FAR_MS, 80);
        iteration(spanMs, spanMs + FAR_MS, 0);
        assertEquals(80, lag.recentMaxLagMs());
        iteration(2 * spanMs, 2 * spanMs + FAR_MS, 0);
        assertEquals(0, lag.recentMaxLagMs());
    }

    @Test
    void eachLatenessCountsAtAllBoundsBelowIt() {
        iteration(50, FAR_MS, 80);
        iteration(0, FAR_MS, 0);
        assertEquals(
                List.of(1, 1, 1, 0, 0),
                IntStream.range(0, EventLoopLag.histogramBoundsMs().length)
                        .mapToObj(lag::countAbove)
                        .toList());
    }

    @Test
    void whatTheStartTookIsForgotten() {
        iteration(50, FAR_MS, 400);
        iteration(0, FAR_MS, 0);
        lag.resetRecentMax();
        assertEquals(0, lag.recentMaxLagMs());
    }
}
