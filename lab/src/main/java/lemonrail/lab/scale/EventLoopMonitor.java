package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Monitors an event loop: how late it runs a periodic task, and the processor time of its thread. */
final class EventLoopMonitor implements AutoCloseable {

    private static final int TICK_INTERVAL_MS = 10;
    private static final long MAX_LATENESS_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /**
     * What was measured since the last sample.
     *
     * @param lagP99Ms the lateness of the periodic task at the 99th percentile
     */
    record Sample(double lagP99Ms, double maxLagMs, double cpuMs) {}

    private final EventLoop loop;
    private final long threadId;
    private final Histogram latenessMicros = new Histogram(MAX_LATENESS_MICROS, 2);
    private final Future<?> ticks;
    private long dueNanos;
    private double cpuMs;

    EventLoopMonitor(EventLoop loop) {
        this.loop = loop;
        threadId = loop.submit(() -> Thread.currentThread().getId())
                .syncUninterruptibly()
                .getNow();
        dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MS);
        ticks = loop.scheduleWithFixedDelay(this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
        cpuMs = threadCpuMs();
    }

    private void tick() {
        long now = System.nanoTime();
        // A loop that was blocked for a long time has missed the ticks in between, each of which would have been
        // late as well.
        long lateMicros = Math.min(MAX_LATENESS_MICROS, Math.max(0, (now - dueNanos) / 1000));
        latenessMicros.recordValueWithExpectedInterval(lateMicros, TimeUnit.MILLISECONDS.toMicros(TICK_INTERVAL_MS));
        dueNanos = now + TimeUnit.MILLISECONDS.toNanos(TICK_INTERVAL_MS);
    }

    private double threadCpuMs() {
        return THREADS.getThreadCpuTime(threadId) / 1e6;
    }

    /** Returns what was measured since the last call, and starts anew. */
    Sample takeAndReset() {
        return loop.submit(() -> {
                    double now = threadCpuMs();
                    Sample sample = new Sample(
                            latenessMicros.getValueAtPercentile(99) / 1e3,
                            latenessMicros.getMaxValue() / 1e3,
                            now - cpuMs);
                    cpuMs = now;
                    latenessMicros.reset();
                    return sample;
                })
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        ticks.cancel(false);
    }
}
