package lemonrail.lab.host;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.model.Scheduler;
import org.HdrHistogram.Histogram;

/** Scheduler in real time on an event loop, by the system's monotonic clock. Records how late its timers fire. */
public final class EventLoopScheduler implements Scheduler {

    private static final long MAX_RECORDED_MICROS = TimeUnit.HOURS.toMicros(1);

    private final EventLoop loop;
    private long startNanos;
    private boolean started;
    private final Histogram lateMicros = new Histogram(MAX_RECORDED_MICROS, 2);

    /** Creates a scheduler whose time is 0 until {@link #start}. */
    public EventLoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** Starts the clock at 0 and discards the lateness recorded so far. */
    public void start() {
        startNanos = System.nanoTime();
        started = true;
        lateMicros.reset();
    }

    @Override
    public double nowMs() {
        return started ? (System.nanoTime() - startNanos) / 1e6 : 0;
    }

    @Override
    public ScheduledAction after(double delayMs, Runnable action) {
        long delayNanos = (long) (Math.max(0, delayMs) * 1e6);
        long dueNanos = System.nanoTime() + delayNanos;
        Future<?> future = loop.schedule(
                () -> {
                    lateMicros.recordValue(
                            Math.min(MAX_RECORDED_MICROS, Math.max(0, (System.nanoTime() - dueNanos) / 1000)));
                    action.run();
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    /** Returns by how much actions ran late, in microseconds. */
    public Histogram lateMicros() {
        return lateMicros;
    }
}
