package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks the waits and backoffs of watch calls. */
class WatchScheduleTest {

    /** Guards against waits that delay changes, and against fleets that call in step. */
    @Test
    void waitGrowsWithTheFleetWithinBounds() {
        assertEquals(1000, WatchSchedule.ofFleet(1, 1000, 1).waitMs());
        assertEquals(1000, WatchSchedule.ofFleet(14, 1000, 1).waitMs());
        assertEquals(1000, WatchSchedule.ofFleet(100, 1000, 1).waitMs());
        assertEquals(2500, WatchSchedule.ofFleet(250, 1000, 1).waitMs());
        assertEquals(3000, WatchSchedule.ofFleet(550, 1000, 1).waitMs());
        assertEquals(3000, WatchSchedule.ofFleet(100_000, 1000, 1).waitMs());
        List<Double> first = IntStream.range(0, 50)
                .mapToObj(i -> new WatchSchedule(1000, 1000, i).onFailure())
                .toList();
        assertEquals(50, first.stream().distinct().count(), "not in step");
        assertTrue(first.stream().allMatch(backoffMs -> backoffMs >= 50 && backoffMs < 150), first.toString());
        WatchSchedule schedule = new WatchSchedule(1000, 3000, 7);
        double last =
                IntStream.range(0, 10).mapToDouble(i -> schedule.onFailure()).reduce(0, (a, b) -> b);
        assertTrue(last >= 500 && last < 1500, "longer and longer, within bounds: " + last);
        schedule.onResponse();
        assertTrue(schedule.onFailure() < 150);
    }

    /**
     * Guards against changes that are read too late: one that comes as a watch starts and falls silent, followed by
     * further calls without a response, each after its backoff.
     */
    @Test
    void changeDuringFailedWatchesIsReadInTime() {
        for (int processes : new int[] {1, 100, 550, 1000, 100_000}) {
            for (double graceMs : new double[] {0, 1000, 60_000}) {
                for (int seed = 0; seed < 200; seed++) {
                    WatchSchedule schedule = WatchSchedule.ofFleet(processes, graceMs, seed);
                    String which = processes + ", " + graceMs + ", " + seed;
                    double readMs = detectedMs(schedule);
                    assertTrue(readMs <= 4000, which + ": " + readMs);
                    assertTrue(readMs + WatchSchedule.responseTimeoutMs() <= 6000, "a response in pieces: " + which);
                    readMs += detectedMs(schedule);
                    assertTrue(readMs <= 5000, which + ": " + readMs);
                    readMs += detectedMs(schedule);
                    assertTrue(readMs < 6000, which + ": " + readMs);
                    schedule.onResponse();
                    assertTrue(schedule.waitMs() >= 1000, "a long wait again: " + which);
                }
            }
        }
    }

    /** Returns the time from a call that gets no response to the next call. */
    private static double detectedMs(WatchSchedule schedule) {
        return schedule.waitMs() + WatchSchedule.silenceTimeoutMs() + schedule.onFailure();
    }

    /** Guards against backoffs that delay changes after discovery has returned. */
    @Test
    void noBackoffDelaysAChangeForLong() {
        WatchSchedule schedule = WatchSchedule.ofFleet(1000, 60_000, 7);
        double longest = IntStream.range(0, 500)
                .mapToDouble(i -> schedule.onFailure())
                .max()
                .orElseThrow();
        assertTrue(longest + detectedMs(schedule) < 6000, longest + ", and one more failed call");
    }

    /** Guards against requests to a draining endpoint after discovery has returned. */
    @Test
    void noBackoffExceedsHalfTheDrainGrace() {
        for (double graceMs : new double[] {300, 1000, 2500}) {
            WatchSchedule schedule = new WatchSchedule(1000, graceMs, 7);
            double longest = IntStream.range(0, 500)
                    .mapToDouble(i -> schedule.onFailure())
                    .max()
                    .orElseThrow();
            assertTrue(longest <= graceMs / 2 && longest > graceMs / 4, graceMs + ": " + longest);
        }
        assertTrue(new WatchSchedule(1000, 0, 7).onFailure() >= 50, "it never spins");
    }
}
