package lemonrail.lab.scale;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** Makes changes at a constant rate, on the calling thread. */
final class Churn {

    private static final double MAX_SLEEP_MS = 100;

    private Churn() {}

    /**
     * Calls {@code change} with the change's number, from 0, for each change when it is due, and returns after the
     * given duration. At a rate of 0 it makes no changes.
     */
    static void run(double changesPerSecond, double durationMs, LongConsumer change) throws InterruptedException {
        long startNanos = System.nanoTime();
        long endNanos = startNanos + (long) (durationMs * 1e6);
        long count = (long) Math.floor(changesPerSecond * durationMs / 1000 + 1e-6);
        for (long number = 0; number < count; number++) {
            sleepUntil(startNanos + (long) (number * 1e9 / changesPerSecond));
            change.accept(number);
        }
        sleepUntil(endNanos);
    }

    private static void sleepUntil(long deadlineNanos) throws InterruptedException {
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(Math.min(remainingNanos, (long) (MAX_SLEEP_MS * 1e6)));
            remainingNanos = deadlineNanos - System.nanoTime();
        }
    }

    /** Sleeps for a duration in ms. */
    static void sleep(double ms) throws InterruptedException {
        sleepUntil(System.nanoTime() + (long) (ms * 1e6));
    }
}
