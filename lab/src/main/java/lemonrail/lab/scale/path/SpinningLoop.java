package lemonrail.lab.scale.path;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * An event loop that polls without ever sleeping, so that neither its timers, which would be up to a millisecond
 * late, nor its own wake-ups influence what is measured with it. It occupies a core. It measures how long it does
 * not look at its sockets, because it works or lacks that core.
 */
final class SpinningLoop implements AutoCloseable {

    /** Passes that take no longer are the loop's normal iteration, and no pause. */
    private static final long NORMAL_PASS_NANOS = 5_000;

    private static final long MAX_PAUSE_MICROS = TimeUnit.MINUTES.toMicros(1);

    private final EventLoopGroup group;
    private final EventLoop loop;
    /** Each pause counts once per microsecond, so that percentiles are fractions of the time. */
    private final Histogram pauseMicros = new Histogram(MAX_PAUSE_MICROS, 2);

    private long countingSinceNanos;
    private long lastPassNanos;
    private long pauseNanos;

    SpinningLoop(String name) {
        group = new MultiThreadIoEventLoopGroup(
                1,
                new DefaultThreadFactory(name, true),
                NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::poll));
        loop = (EventLoop) group.next();
        loop.submit(this::clear).syncUninterruptibly();
    }

    /** Polls the sockets without waiting. */
    private int poll(IntSupplier selectNow, boolean hasTasks) throws Exception {
        long now = System.nanoTime();
        long gap = now - lastPassNanos;
        lastPassNanos = now;
        if (gap > NORMAL_PASS_NANOS && countingSinceNanos != 0) {
            pauseNanos += gap;
            long micros = Math.min(MAX_PAUSE_MICROS, TimeUnit.NANOSECONDS.toMicros(gap));
            pauseMicros.recordValueWithCount(micros, micros);
        }
        return selectNow.get();
    }

    private void clear() {
        pauseMicros.reset();
        pauseNanos = 0;
        lastPassNanos = System.nanoTime();
        countingSinceNanos = lastPassNanos;
    }

    /** Starts to count pauses anew. */
    void resetPauses() {
        loop.execute(this::clear);
    }

    /** Returns how long the loop paused polling, in ms, at the 99th percentile over the time since the last reset. */
    double pauseP99Ms() {
        return loop.submit(() -> {
                    long pollingMicros =
                            TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - countingSinceNanos - pauseNanos);
                    Histogram distribution = pauseMicros.copy();
                    if (pollingMicros > 0) {
                        distribution.recordValueWithCount(0, pollingMicros);
                    }
                    return distribution.getValueAtPercentile(99) / 1e3;
                })
                .syncUninterruptibly()
                .getNow();
    }

    EventLoopGroup group() {
        return group;
    }

    EventLoop loop() {
        return loop;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
