package lemonrail.exchange;

import io.netty.util.concurrent.Future;

/**
 * One attempt of a request and its progress. Times are in milliseconds; points in time are those of the event loop's
 * {@link lemonrail.time.Clock}.
 */
final class PendingAttempt {

    /** The value of a duration that has not ended yet. */
    private static final double NOT_REACHED = -1;

    private final int number;
    private final String endpoint;
    /**
     * The latest time at which a retry of a keyed request may start; endpoints may have discarded its idempotency key
     * by then.
     */
    private final double retryWindowEndMs;

    private double startedMs;
    private double connectMs = NOT_REACHED;
    private double firstBytesMs = NOT_REACHED;
    private double latestStartMs = Double.POSITIVE_INFINITY;
    private Upstream.Attempt upstreamAttempt;
    private Future<?> timeout;
    private boolean finished;

    PendingAttempt(int number, String endpoint, double startedMs, double retryWindowEndMs) {
        this.number = number;
        this.endpoint = endpoint;
        this.startedMs = startedMs;
        this.retryWindowEndMs = retryWindowEndMs;
    }

    int number() {
        return number;
    }

    String endpoint() {
        return endpoint;
    }

    /** Returns when the attempt started; for a large request body, when its upload was complete. */
    double startedMs() {
        return startedMs;
    }

    /**
     * Returns the time from the start until the request was written, or a negative value if it has not been written.
     */
    double connectMs() {
        return connectMs;
    }

    /** Returns the time from the start to the first bytes of a streamed response, or to now if there are none. */
    double durationMs(double nowMs) {
        return firstBytesMs >= 0 ? firstBytesMs : nowMs - startedMs;
    }

    /** Returns how much of the given duration passed before the request was written. */
    double connectPartMs(double durationMs) {
        return connectMs >= 0 ? Math.min(connectMs, durationMs) : durationMs;
    }

    void setUpstreamAttempt(Upstream.Attempt upstreamAttempt) {
        this.upstreamAttempt = upstreamAttempt;
    }

    Upstream.Attempt upstreamAttempt() {
        return upstreamAttempt;
    }

    /**
     * Sets the timer that ends the attempt or checks its progress; the previous timer must have fired or been
     * cancelled.
     */
    void setTimeout(Future<?> timeout) {
        this.timeout = timeout;
    }

    void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    void markRequestWritten(double nowMs) {
        connectMs = nowMs - startedMs;
    }

    /** Restarts the measurement, because the upload of a large body does not count as the endpoint's time. */
    void restartAfterUpload(double nowMs) {
        startedMs = nowMs;
        connectMs = 0;
    }

    void markFirstBytes(double nowMs) {
        firstBytesMs = nowMs - startedMs;
    }

    /** Limits the time at which the request may be written, because the endpoint is draining or gone. */
    void limitStart(double latestMs) {
        latestStartMs = Math.min(latestStartMs, latestMs);
    }

    /** Lifts the limit of {@link #limitStart}, because the endpoint is ready again. */
    void liftStartLimit() {
        latestStartMs = Double.POSITIVE_INFINITY;
    }

    /** Returns whether the request may still be written to the endpoint. */
    boolean mayStart(double nowMs) {
        return nowMs < Math.min(latestStartMs, retryWindowEndMs);
    }

    boolean isFinished() {
        return finished;
    }

    void markFinished() {
        finished = true;
    }
}
