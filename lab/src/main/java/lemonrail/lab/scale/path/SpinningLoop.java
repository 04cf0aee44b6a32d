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

    /** Passes that take no longer are the loop's normal iteration, and no absence. */
    private static final long NORMAL_PASS_NANOS = 5_000;

    private static final long MAX_ABSENCE_MICROS = TimeUnit.MINUTES.toMicros(1);

    private final EventLoopGroup group;
    private final EventLoop loop;
    /** Each absence counts once per microsecond, so that percentiles are fractions of the time. */
    private final Histogram absenceMicros = new Histogram(MAX_ABSENCE_MICROS, 2);

    private long countingSinceNanos;
    private long lastPassNanos;
    private long absenceNanos;

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
            absenceNanos += gap;
            long micros = Math.min(MAX_ABSENCE_MICROS, TimeUnit.NANOSECONDS.toMicros(gap));
            absenceMicros.recordValueWithCount(micros, micros);
        }
        return selectNow.get();
    }

    private void clear() {
        absenceMicros.reset();
        absenceNanos = 0;
        lastPassNanos = System.nanoTime();
        countingSinceNanos = lastPassNanos;
    }

    /** Starts to count absences anew. */
    void resetAbsences() {
        loop.execute(this::clear);
    }

    /** Returns for how long the loop was absent, in ms, at the 99th percentile over the time since the last reset. */
    double absenceP99Ms() {
        return loop.submit(() -> {
                    long presentMicros =
                            TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - countingSinceNanos - absenceNanos);
                    Histogram distribution = absenceMicros.copy();
                    if (presentMicros > 0) {
                        distribution.recordValueWithCount(0, presentMicros);
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
