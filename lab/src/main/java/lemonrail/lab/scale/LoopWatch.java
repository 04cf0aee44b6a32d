package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** How late an event loop is, by a short tick of its own, and the processor time that its thread takes. */
final class LoopWatch implements AutoCloseable {

    private static final int TICK_MS = 10;
    private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(10);
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** What a loop was like since it was last asked. */
    record Seen(double lagP99Ms, double lagMostMs, double cpuMs) {}

    private final EventLoop loop;
    private final long thread;
    private final Histogram lateMicros = new Histogram(MOST_MICROS, 2);
    private final Future<?> ticking;
    private long dueNanos;
    private double cpuMs;

    LoopWatch(EventLoop loop) {
        this.loop = loop;
        thread = loop.submit(() -> Thread.currentThread().getId())
                .syncUninterruptibly()
                .getNow();
        dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TICK_MS);
        ticking = loop.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        cpuMs = threadCpuMs();
    }

    private void tick() {
        long now = System.nanoTime();
        // A loop that was held up for long has missed the ticks between: each would have been late as well.
        long late = Math.min(MOST_MICROS, Math.max(0, (now - dueNanos) / 1000));
        lateMicros.recordValueWithExpectedInterval(late, TimeUnit.MILLISECONDS.toMicros(TICK_MS));
        dueNanos = now + TimeUnit.MILLISECONDS.toNanos(TICK_MS);
    }

    private double threadCpuMs() {
        return THREADS.getThreadCpuTime(thread) / 1e6;
    }

    /** What it was like since the last call; begins anew. */
    Seen take() {
        return loop.submit(() -> {
                    double now = threadCpuMs();
                    Seen seen = new Seen(
                            lateMicros.getValueAtPercentile(99) / 1e3, lateMicros.getMaxValue() / 1e3, now - cpuMs);
                    cpuMs = now;
                    lateMicros.reset();
                    return seen;
                })
                .syncUninterruptibly()
                .getNow();
    }

    @Override
    public void close() {
        ticking.cancel(false);
    }
}
