package lemonrail.exchange;

import io.netty.util.concurrent.Future;

/** One attempt of a request and its progress. Times are in milliseconds, instants on the host's clock. */
final class PendingAttempt {

    /** The value of a duration whose end has not been reached. */
    private static final double NOT_REACHED = -1;

    private final int number;
    private final String endpoint;
    /** A retry of a keyed request is not started later, as endpoints may have forgotten its key by then. */
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

    /** Returns when the endpoint could start work: after the upload of a large body. */
    double startedMs() {
        return startedMs;
    }

    /** Returns how long it took until the request was written, or a negative value if it has not been. */
    double connectMs() {
        return connectMs;
    }

    /** Returns the time to the first bytes of a streamed response, else to now. */
    double durationMs(double nowMs) {
        return firstBytesMs >= 0 ? firstBytesMs : nowMs - startedMs;
    }

    /** Returns the part of a duration that passed before the request was written. */
    double connectPartMs(double durationMs) {
        return connectMs >= 0 ? Math.min(connectMs, durationMs) : durationMs;
    }

    void setUpstreamAttempt(Upstream.Attempt upstreamAttempt) {
        this.upstreamAttempt = upstreamAttempt;
    }

    Upstream.Attempt upstreamAttempt() {
        return upstreamAttempt;
    }

    /** Sets the timer that ends the attempt or checks its progress; the previous one must be over or cancelled. */
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

    /** Measures from now on, as the upload of a large body takes none of the endpoint's time. */
    void restartAfterUpload(double nowMs) {
        startedMs = nowMs;
        connectMs = 0;
    }

    void markFirstBytes(double nowMs) {
        firstBytesMs = nowMs - startedMs;
    }

    /** Forbids writing the request later than this, as the endpoint is leaving. */
    void limitStart(double latestMs) {
        latestStartMs = Math.min(latestStartMs, latestMs);
    }

    /** Lifts the limit: the endpoint is ready again. */
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
