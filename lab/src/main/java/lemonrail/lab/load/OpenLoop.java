package lemonrail.lab.load;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import lemonrail.lab.host.ClientPool;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.model.ClientRequest;
import org.HdrHistogram.Histogram;

/**
 * Load in an open loop: requests are sent when they are due whether or not others have been answered, and a
 * request's time counts from when it was due, so that a slow answer is not hidden by the requests that it
 * kept from being sent. Belongs to its event loop, whose timers are late by up to a millisecond.
 */
public final class OpenLoop {

    /** A run is void where a request in a hundred was sent later than this after it was due. */
    public static final double MOST_LATE_MS = 5;

    private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(10);

    /**
     * What is to be sent.
     *
     * @param warmUpMs before anything counts
     * @param timeoutMs after which a request is given up
     * @param spread all connections are used in turn, and not as few as will do
     * @param batch requests that are due at the same moment; the rate is that of all of them
     */
    public record Plan(
            double rate,
            double lengthMs,
            double warmUpMs,
            int connections,
            double timeoutMs,
            Arrivals.Spacing spacing,
            boolean spread,
            int batch) {

        /** Load on as few connections as will do. */
        public Plan(
                double rate,
                double lengthMs,
                double warmUpMs,
                int connections,
                double timeoutMs,
                Arrivals.Spacing spacing) {
            this(rate, lengthMs, warmUpMs, connections, timeoutMs, spacing, false, 1);
        }
    }

    /**
     * What came of it, warm-up excluded.
     *
     * @param lost requests without a whole answer: given up, broken off or not connected
     * @param waited requests that found all connections busy
     * @param late99Ms how late requests were sent, 99 in 100
     */
    public record Result(
            Plan plan,
            long sent,
            long served,
            long refused,
            long failed,
            long lost,
            Histogram servedMicros,
            double lastedMs,
            double late99Ms,
            double lateMostMs,
            int mostOpen,
            long waited) {

        /** Whether the generator itself, and not what it called, made the figures. */
        public boolean isVoid() {
            return late99Ms > MOST_LATE_MS || waited > sent / 100;
        }

        /** A percentile of the time to a served answer, in ms. */
        public double percentileMs(double percentile) {
            return servedMicros.getValueAtPercentile(percentile) / 1e3;
        }
    }

    private final EventLoop loop;
    private final Plan plan;
    private final Arrivals arrivals;
    private final IntFunction<FullHttpRequest> requests;
    private final ClientPool pool;
    private final Histogram micros = new Histogram(MOST_MICROS, 3);
    private final Histogram late = new Histogram(MOST_MICROS, 3);
    private Runnable over;
    private long beganNanos;
    private double dueMs;
    private int made;
    private long open;
    private boolean ending;
    private long sent;
    private long served;
    private long refused;
    private long failed;
    private long lost;

    /** Load on one address; {@code requests} makes the request of a number, counted from 0. */
    public OpenLoop(
            EventLoop loop,
            InetSocketAddress address,
            Plan plan,
            Arrivals arrivals,
            IntFunction<FullHttpRequest> requests) {
        this.loop = loop;
        this.plan = plan;
        this.arrivals = arrivals;
        this.requests = requests;
        pool = new ClientPool(loop, address, plan.connections(), plan.spread());
    }

    /** Begins; {@code over} is called once all has been sent and has ended. */
    public void start(Runnable whenOver) {
        over = whenOver;
        beganNanos = System.nanoTime();
        dueMs = arrivals.next();
        loop.execute(this::round);
    }

    private double nowMs() {
        return (System.nanoTime() - beganNanos) / 1e6;
    }

    private void round() {
        while (dueMs < plan.lengthMs() && dueMs <= nowMs()) {
            for (int i = 0; i < plan.batch(); i++) {
                send(dueMs);
            }
            dueMs = arrivals.next();
        }
        if (dueMs >= plan.lengthMs()) {
            ending = true;
            endWhenEmpty();
            return;
        }
        long inNanos = (long) ((dueMs - nowMs()) * 1e6);
        // Going round until it is due would keep the loop from its sockets.
        loop.schedule(this::round, Math.max(0, inNanos), TimeUnit.NANOSECONDS);
    }

    private void send(double due) {
        boolean counts = due >= plan.warmUpMs();
        open++;
        if (counts) {
            sent++;
            late.recordValue(Math.min(MOST_MICROS, (long) ((nowMs() - due) * 1000)));
        }
        pool.send(requests.apply(made++), plan.timeoutMs(), (end, answer) -> {
            open--;
            if (counts) {
                count(end, due);
            }
            endWhenEmpty();
        });
    }

    private void count(ClientRequest.End end, double due) {
        switch (end) {
            case SERVED -> {
                served++;
                micros.recordValue(Math.min(MOST_MICROS, (long) ((nowMs() - due) * 1000)));
            }
            case REFUSED -> refused++;
            case FAILED -> failed++;
            default -> lost++;
        }
    }

    private void endWhenEmpty() {
        if (ending && open == 0) {
            ending = false;
            pool.close();
            over.run();
        }
    }

    /** Sends no more; what is under way still ends. */
    public void stop() {
        dueMs = Double.POSITIVE_INFINITY;
    }

    /** Requests that were sent so far, warm-up excluded. */
    public long sent() {
        return sent;
    }

    /** Requests of all kinds that were sent and have ended so far, warm-up excluded. */
    public Result result() {
        return new Result(
                plan,
                sent,
                served,
                refused,
                failed,
                lost,
                micros.copy(),
                Math.min(nowMs(), plan.lengthMs()) - plan.warmUpMs(),
                late.getValueAtPercentile(99) / 1e3,
                late.getMaxValue() / 1e3,
                pool.mostOpen(),
                pool.waited());
    }
}
