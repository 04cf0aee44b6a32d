package lemonrail.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/** Schedules tasks on one event loop, with delays in fractional milliseconds. */
final class EventLoopTimers {

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;

    EventLoopTimers(EventLoop loop) {
        this.loop = loop;
    }

    /** Runs a task on the event loop after a delay, or as soon as possible if the delay is negative. */
    Future<?> schedule(double delayMs, Runnable task) {
        return loop.schedule(task, (long) (Math.max(0, delayMs) * NANOS_PER_MS), TimeUnit.NANOSECONDS);
    }
}
