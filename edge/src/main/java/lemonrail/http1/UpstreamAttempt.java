package lemonrail.http1;

import io.netty.util.concurrent.Future;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.exchange.Upstream;
import lemonrail.streaming.BodyPipe;
import lemonrail.time.Clock;

/**
 * One attempt, which sends a request to one endpoint and reports the outcome once. Confined to the pool's event loop.
 */
final class UpstreamAttempt implements Upstream.Attempt {

    /** The minimum deadline that is sent to an endpoint, in milliseconds. */
    private static final double MIN_REMAINING_MS = 1;

    private final RequestMessage request;
    private final double deadlineMs;
    private final Clock clock;
    /** Null after the outcome has been reported or the attempt has been cancelled. */
    private Upstream.AttemptListener<UpstreamResponse> listener;

    private UpstreamConnection connection;
    /**
     * Completes when the last byte of the request has been written to the socket; null until the last part is being
     * written.
     */
    private Future<?> requestWritten;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param timeoutMs the attempt timeout, in milliseconds
     * @param listener receives the response and the outcome
     */
    UpstreamAttempt(
            RequestMessage request,
            double timeoutMs,
            Clock clock,
            Upstream.AttemptListener<UpstreamResponse> listener) {
        this.request = request;
        this.clock = clock;
        this.listener = listener;
        deadlineMs = clock.now() + timeoutMs;
    }

    RequestMessage request() {
        return request;
    }

    /**
     * Returns the time left until the end of the attempt timeout, in milliseconds. Connecting may have used part of the
     * timeout.
     */
    double remainingMs() {
        return Math.max(MIN_REMAINING_MS, deadlineMs - clock.now());
    }

    /** Sets the connection on which the attempt is sent. */
    void assignTo(UpstreamConnection assigned) {
        connection = assigned;
    }

    /** Sets the future that completes when the last part of the request has been written. */
    void setRequestWritten(Future<?> lastPartWritten) {
        requestWritten = lastPartWritten;
    }

    /** Returns whether the attempt has neither reported its outcome nor been cancelled. */
    boolean isAwaited() {
        return listener != null;
    }

    /** Returns whether the attempt may still be sent on a connection that has just been opened. */
    boolean mayStart() {
        return listener != null && listener.mayStart();
    }

    @Override
    public boolean mayHaveExecuted() {
        return requestWritten != null && requestWritten.isSuccess();
    }

    @Override
    public boolean cancel() {
        listener = null;
        connection.close();
        return mayHaveExecuted();
    }

    /** Reports that the complete request has been written. */
    void onRequestWritten() {
        if (listener != null) {
            listener.onRequestWritten();
        }
    }

    /** Reports that a response has started to arrive whose body follows through the pipe. */
    void onResponseStreamStarted(UpstreamResponse head, BodyPipe body) {
        listener.onResponseStreamStarted(head, body);
    }

    /** Reports the outcome, unless it has already been reported or the attempt has been cancelled. */
    void finish(AttemptOutcome outcome, UpstreamResponse response) {
        Upstream.AttemptListener<UpstreamResponse> finishedListener = listener;
        listener = null;
        if (finishedListener != null) {
            finishedListener.onFinished(outcome, response);
        }
    }
}
