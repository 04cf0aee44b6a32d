package lemonrail.time;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.junit.jupiter.api.Test;

class ClockTest {

    private static final int CLOCKS = 500;
    /** Reading all clocks takes a part of this, and they may differ by the rest. */
    private static final double MAX_DIFFERENCE_MS = 0.5;

    private static final int ROUNDS = 20;

    /**
     * Guards against clocks that differ by up to a millisecond because each starts at a whole one: control nodes would
     * then order changes that they accept in the same millisecond against their real order.
     */
    @Test
    void clocksCreatedWithinAMillisecondAgree() {
        List<Clock> clocks = new ArrayList<>();
        long startNanos = System.nanoTime();
        while (clocks.size() < CLOCKS) {
            if (System.nanoTime() - startNanos > clocks.size() * 10_000L) {
                clocks.add(new Clock());
            }
        }
        // A round in which the thread was interrupted shows a larger difference than the clocks have.
        double differenceMs = Double.POSITIVE_INFINITY;
        for (int i = 0; i < ROUNDS; i++) {
            differenceMs = Math.min(differenceMs, maxDifferenceMs(clocks));
        }
        assertTrue(differenceMs < MAX_DIFFERENCE_MS, "the clocks differ by " + differenceMs + " ms");
    }

    private static double maxDifferenceMs(List<Clock> clocks) {
        List<Double> readings = clocks.stream().map(Clock::now).toList();
        double earliestMs = readings.stream().min(Comparator.naturalOrder()).orElseThrow();
        double latestMs = readings.stream().max(Comparator.naturalOrder()).orElseThrow();
        return latestMs - earliestMs;
    }
}
