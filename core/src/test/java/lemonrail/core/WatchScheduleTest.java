package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks the waits and backoffs of watch calls. */
class WatchScheduleTest {

    /** Guards against waits that delay changes, and against fleets whose processes call at the same time. */
    @Test
    void waitGrowsWithFleetSizeWithinBounds() {
        assertEquals(1000, WatchSchedule.ofFleet(1, 1000, 1).waitMs());
        assertEquals(1000, WatchSchedule.ofFleet(14, 1000, 1).waitMs());
        assertEquals(1000, WatchSchedule.ofFleet(100, 1000, 1).waitMs());
        assertEquals(2500, WatchSchedule.ofFleet(250, 1000, 1).waitMs());
        assertEquals(3000, WatchSchedule.ofFleet(550, 1000, 1).waitMs());
        assertEquals(3000, WatchSchedule.ofFleet(100_000, 1000, 1).waitMs());
        List<Double> firstBackoffsMs = IntStream.range(0, 50)
                .mapToObj(i -> new WatchSchedule(1000, 1000, i).onFailure())
                .toList();
        assertEquals(50, firstBackoffsMs.stream().distinct().count(), "processes have different backoffs");
        assertTrue(
                firstBackoffsMs.stream().allMatch(backoffMs -> backoffMs >= 50 && backoffMs < 150),
                firstBackoffsMs.toString());
        WatchSchedule schedule = new WatchSchedule(1000, 3000, 7);
        double lastBackoffMs =
                IntStream.range(0, 10).mapToDouble(i -> schedule.onFailure()).reduce(0, (a, b) -> b);
        assertTrue(lastBackoffMs >= 500 && lastBackoffMs < 1500, "backoff after ten failures in ms: " + lastBackoffMs);
        schedule.onResponse();
        assertTrue(schedule.onFailure() < 150);
    }

    /**
     * Guards against changes that are read too late. The change arrives when a watch call starts that gets no response.
     * Further calls without a response follow, each after its backoff.
     */
    @Test
    void changeDuringFailedWatchesIsReadInTime() {
        for (int processes : new int[] {1, 100, 550, 1000, 100_000}) {
            for (double graceMs : new double[] {0, 1000, 60_000}) {
                for (int seed = 0; seed < 200; seed++) {
                    WatchSchedule schedule = WatchSchedule.ofFleet(processes, graceMs, seed);
                    String parameters = processes + ", " + graceMs + ", " + seed;
                    double readMs = timeToNextCallMs(schedule);
                    assertTrue(readMs <= 4000, parameters + ": " + readMs);
                    assertTrue(
                            readMs + WatchSchedule.responseTimeoutMs() <= 6000,
                            "response in several parts: " + parameters);
                    readMs += timeToNextCallMs(schedule);
                    assertTrue(readMs <= 5000, parameters + ": " + readMs);
                    readMs += timeToNextCallMs(schedule);
                    assertTrue(readMs < 6000, parameters + ": " + readMs);
                    schedule.onResponse();
                    assertTrue(schedule.waitMs() >= 1000, "full wait after a response: " + parameters);
                }
            }
        }
    }

    /** Returns the time from a call that gets no response to the next call. */
    private static double timeToNextCallMs(WatchSchedule schedule) {
        return schedule.waitMs() + WatchSchedule.silenceTimeoutMs() + schedule.onFailure();
    }

    /** Guards against backoffs that delay changes after discovery has become reachable again. */
    @Test
    void changeIsReadWithinSixSecondsAfterLongestBackoff() {
        WatchSchedule schedule = WatchSchedule.ofFleet(1000, 60_000, 7);
        double longestBackoffMs = IntStream.range(0, 500)
                .mapToDouble(i -> schedule.onFailure())
                .max()
                .orElseThrow();
        assertTrue(
                longestBackoffMs + timeToNextCallMs(schedule) < 6000,
                longestBackoffMs + " ms of backoff, and one more failed call");
    }

    /** Guards against requests to a draining endpoint after discovery has become reachable again. */
    @Test
    void backoffIsAtMostHalfTheDrainGrace() {
        for (double graceMs : new double[] {300, 1000, 2500}) {
            WatchSchedule schedule = new WatchSchedule(1000, graceMs, 7);
            double longestBackoffMs = IntStream.range(0, 500)
                    .mapToDouble(i -> schedule.onFailure())
                    .max()
                    .orElseThrow();
            assertTrue(
                    longestBackoffMs <= graceMs / 2 && longestBackoffMs > graceMs / 4,
                    graceMs + ": " + longestBackoffMs);
        }
        assertTrue(new WatchSchedule(1000, 0, 7).onFailure() >= 50, "backoff with a drain grace of 0");
    }
}
