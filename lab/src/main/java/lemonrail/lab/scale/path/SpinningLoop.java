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
 * An event loop that never sleeps: neither its timers, which would be late by up to a millisecond, nor its
 * own waking up are part of what is measured by it. It takes a core, and knows how long it was away from its
 * sockets, be it at work or without that core.
 */
final class SpinningLoop implements AutoCloseable {

    /** Passes that take less are the loop's usual round. */
    private static final long USUAL_NANOS = 5_000;

    private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(1);

    private final EventLoopGroup group;
    private final EventLoop loop;
    /** Each absence counts as often as it has microseconds, so that percentiles are parts of the time. */
    private final Histogram awayMicros = new Histogram(MOST_MICROS, 2);

    private long sinceNanos;
    private long lastNanos;
    private long awayNanos;

    SpinningLoop(String name) {
        group = new MultiThreadIoEventLoopGroup(
                1,
                new DefaultThreadFactory(name, true),
                NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::look));
        loop = (EventLoop) group.next();
        loop.submit(this::reset).syncUninterruptibly();
    }

    /** Looks at the sockets without waiting for them. */
    private int look(IntSupplier selectNow, boolean hasTasks) throws Exception {
        long now = System.nanoTime();
        long gap = now - lastNanos;
        lastNanos = now;
        if (gap > USUAL_NANOS && sinceNanos != 0) {
            awayNanos += gap;
            long micros = Math.min(MOST_MICROS, TimeUnit.NANOSECONDS.toMicros(gap));
            awayMicros.recordValueWithCount(micros, micros);
        }
        return selectNow.get();
    }

    private void reset() {
        awayMicros.reset();
        awayNanos = 0;
        lastNanos = System.nanoTime();
        sinceNanos = lastNanos;
    }

    /** Counts absences from now on. */
    void begin() {
        loop.execute(this::reset);
    }

    /** In 99 of 100 moments since the beginning the loop was away for no longer than this, in ms. */
    double away99Ms() {
        return loop.submit(() -> {
                    long restMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sinceNanos - awayNanos);
                    Histogram all = awayMicros.copy();
                    if (restMicros > 0) {
                        all.recordValueWithCount(0, restMicros);
                    }
                    return all.getValueAtPercentile(99) / 1e3;
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
