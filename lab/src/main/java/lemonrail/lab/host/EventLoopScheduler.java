package lemonrail.lab.host;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.lab.model.Scheduler;
import org.HdrHistogram.Histogram;

/** Real time on an event loop, by the system's monotonic clock; it keeps how late it was. */
public final class EventLoopScheduler implements Scheduler {

    private static final long MOST_MICROS = TimeUnit.HOURS.toMicros(1);

    private final EventLoop loop;
    private long beganNanos;
    private boolean begun;
    private final Histogram lateMicros = new Histogram(MOST_MICROS, 2);

    /** Time that stands at 0 until it begins. */
    public EventLoopScheduler(EventLoop loop) {
        this.loop = loop;
    }

    /** The run begins now. */
    public void begin() {
        beganNanos = System.nanoTime();
        begun = true;
        lateMicros.reset();
    }

    @Override
    public double nowMs() {
        return begun ? (System.nanoTime() - beganNanos) / 1e6 : 0;
    }

    @Override
    public Due after(double ms, Runnable what) {
        long nanos = (long) (Math.max(0, ms) * 1e6);
        long dueNanos = System.nanoTime() + nanos;
        Future<?> due = loop.schedule(
                () -> {
                    lateMicros.recordValue(Math.min(MOST_MICROS, Math.max(0, (System.nanoTime() - dueNanos) / 1000)));
                    what.run();
                },
                nanos,
                TimeUnit.NANOSECONDS);
        return () -> due.cancel(false);
    }

    /** How much later than due things happened, in microseconds. */
    public Histogram lateMicros() {
        return lateMicros;
    }
}
