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
 * Open-loop load generator. Requests are sent when they are due, whether or not earlier ones have been answered,
 * and latency counts from the due time, which avoids coordinated omission: a slow response can't hide the requests
 * that would have been delayed behind it. All methods run on the event loop, whose timers are late by up to a
 * millisecond.
 */
public final class OpenLoop {

    /** A run is void if more than one request in a hundred was sent later than this after it was due. */
    public static final double MAX_LATE_MS = 5;

    private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(10);

    /**
     * Plan of a load.
     *
     * @param rate requests per second, all of a batch counted
     * @param lengthMs length of the load, warm-up included
     * @param warmUpMs time at the beginning whose requests are not counted
     * @param connections maximum number of open connections
     * @param timeoutMs time after which a request is given up
     * @param spacing distribution of the time between two batches
     * @param spread whether all connections are used in turn rather than as few as possible
     * @param batch number of requests that are due at the same moment
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

        /** Creates a plan with batches of one request, on as few connections as possible. */
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
     * Result of a load, warm-up excluded.
     *
     * @param lost requests without a complete response: timed out, broken off or not connected
     * @param servedMicros latency of the served requests in µs, from their due time
     * @param durationMs length of the measured interval
     * @param late99Ms 99th percentile of the time by which requests were sent late
     * @param maxLateMs maximum of that time
     * @param maxOpenConnections maximum number of connections open at once, warm-up included
     * @param waited requests that found all connections busy, warm-up included
     */
    public record Result(
            Plan plan,
            long sent,
            long served,
            long refused,
            long failed,
            long lost,
            Histogram servedMicros,
            double durationMs,
            double late99Ms,
            double maxLateMs,
            int maxOpenConnections,
            long waited) {

        /** Returns whether the generator itself was too slow, so that the result does not describe its target. */
        public boolean isVoid() {
            return late99Ms > MAX_LATE_MS || waited > sent / 100;
        }

        /** Returns a percentile of the latency of served requests, in ms. */
        public double percentileMs(double percentile) {
            return servedMicros.getValueAtPercentile(percentile) / 1e3;
        }
    }

    private final EventLoop loop;
    private final Plan plan;
    private final Arrivals arrivals;
    private final IntFunction<FullHttpRequest> requests;
    private final ClientPool pool;
    private final Histogram latencyMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    private final Histogram lateMicros = new Histogram(MAX_RECORDED_MICROS, 3);
    private Runnable onFinished;
    private long startNanos;
    private double dueMs;
    private int nextNumber;
    private long openRequests;
    private boolean awaitingCompletion;
    private long sent;
    private long served;
    private long refused;
    private long failed;
    private long lost;

    /** Creates a load on one address; {@code requests} creates the request of an index, from 0. */
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

    /** Starts the load; {@code whenFinished} runs on the event loop once all requests have been sent and have ended. */
    public void start(Runnable whenFinished) {
        onFinished = whenFinished;
        startNanos = System.nanoTime();
        dueMs = arrivals.nextMs();
        loop.execute(this::sendDue);
    }

    private double nowMs() {
        return (System.nanoTime() - startNanos) / 1e6;
    }

    private void sendDue() {
        while (dueMs < plan.lengthMs() && dueMs <= nowMs()) {
            for (int i = 0; i < plan.batch(); i++) {
                send(dueMs);
            }
            dueMs = arrivals.nextMs();
        }
        if (dueMs >= plan.lengthMs()) {
            awaitingCompletion = true;
            finishWhenDone();
            return;
        }
        long inNanos = (long) ((dueMs - nowMs()) * 1e6);
        // Busy waiting until the next request is due would keep the event loop from serving its sockets.
        loop.schedule(this::sendDue, Math.max(0, inNanos), TimeUnit.NANOSECONDS);
    }

    private void send(double requestDueMs) {
        boolean measured = requestDueMs >= plan.warmUpMs();
        openRequests++;
        if (measured) {
            sent++;
            lateMicros.recordValue(Math.min(MAX_RECORDED_MICROS, (long) ((nowMs() - requestDueMs) * 1000)));
        }
        pool.send(requests.apply(nextNumber++), plan.timeoutMs(), (end, answer) -> {
            openRequests--;
            if (measured) {
                recordOutcome(end, requestDueMs);
            }
            finishWhenDone();
        });
    }

    private void recordOutcome(ClientRequest.End end, double requestDueMs) {
        switch (end) {
            case SERVED -> {
                served++;
                latencyMicros.recordValue(Math.min(MAX_RECORDED_MICROS, (long) ((nowMs() - requestDueMs) * 1000)));
            }
            case REFUSED -> refused++;
            case FAILED -> failed++;
            default -> lost++;
        }
    }

    private void finishWhenDone() {
        if (awaitingCompletion && openRequests == 0) {
            awaitingCompletion = false;
            pool.close();
            onFinished.run();
        }
    }

    /** Sends no more requests; those in flight still end. */
    public void stop() {
        dueMs = Double.POSITIVE_INFINITY;
    }

    /** Returns the number of requests sent so far, warm-up excluded. */
    public long sent() {
        return sent;
    }

    /** Returns the result so far, warm-up excluded. */
    public Result result() {
        return new Result(
                plan,
                sent,
                served,
                refused,
                failed,
                lost,
                latencyMicros.copy(),
                Math.min(nowMs(), plan.lengthMs()) - plan.warmUpMs(),
                lateMicros.getValueAtPercentile(99) / 1e3,
                lateMicros.getMaxValue() / 1e3,
                pool.maxOpen(),
                pool.waited());
    }
}
