package lemonrail.lab.scale;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/** Makes changes at an even rate, from the thread that calls it. */
final class Churn {

    private static final double PIECE_MS = 100;

    private Churn() {}

    /** Has each change made in its time, by its number from 0; none at a rate of 0. */
    static void run(double perSecond, double lengthMs, LongConsumer change) throws InterruptedException {
        long began = System.nanoTime();
        long ends = began + (long) (lengthMs * 1e6);
        long count = (long) Math.floor(perSecond * lengthMs / 1000 + 1e-6);
        for (long number = 0; number < count; number++) {
            sleepUntil(began + (long) (number * 1e9 / perSecond));
            change.accept(number);
        }
        sleepUntil(ends);
    }

    private static void sleepUntil(long atNanos) throws InterruptedException {
        long leftNanos = atNanos - System.nanoTime();
        while (leftNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(Math.min(leftNanos, (long) (PIECE_MS * 1e6)));
            leftNanos = atNanos - System.nanoTime();
        }
    }

    /** Waits. */
    static void rest(double ms) throws InterruptedException {
        sleepUntil(System.nanoTime() + (long) (ms * 1e6));
    }
}
