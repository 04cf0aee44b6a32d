package lemonrail.lab.scale;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

/** Makes changes at an even rate, from the thread that calls it. */
final class Churn {

    private static final double IDLE_MS = 100;

    private Churn() {
    }

    /**
     * Applies changes for a while; none at a rate of 0.
     *
     * @param change what the change of a number, counted from 0, does to which lists
     */
    static void run(ControlPlane plane, double perSecond, double lengthMs,
            LongFunction<Map<String, List<Line>>> change, List<ControlPlane.Applied> applied)
            throws InterruptedException {
        long began = System.nanoTime();
        long ends = began + (long) (lengthMs * 1e6);
        long number = 0;
        while (true) {
            long due = perSecond > 0 ? began + (long) (number * 1e9 / perSecond) : ends;
            sleepUntil(Math.min(due, ends));
            if (due >= ends) {
                return;
            }
            applied.add(plane.apply(change.apply(number)));
            number++;
        }
    }

    private static void sleepUntil(long atNanos) throws InterruptedException {
        long leftNanos = atNanos - System.nanoTime();
        while (leftNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(Math.min(leftNanos, (long) (IDLE_MS * 1e6)));
            leftNanos = atNanos - System.nanoTime();
        }
    }

    /** Waits. */
    static void rest(double ms) throws InterruptedException {
        sleepUntil(System.nanoTime() + (long) (ms * 1e6));
    }
}
