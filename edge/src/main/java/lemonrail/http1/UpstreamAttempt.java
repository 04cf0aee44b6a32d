package lemonrail.http1;

import io.netty.util.concurrent.Future;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.exchange.Upstream;
import lemonrail.streaming.BodyPipe;
import lemonrail.time.Clock;

/** One request sent to one endpoint; reports its outcome once. Confined to the pool's event loop. */
final class UpstreamAttempt implements Upstream.Attempt {

    /** The least time that an endpoint is told to have for a request. */
    private static final double MIN_TIME_LEFT_MS = 1;

    private final RequestMessage request;
    private final double timeoutMs;
    private final double deadlineMs;
    private final Clock clock;
    /** Null once the outcome is reported or the attempt is cancelled. */
    private Upstream.AttemptListener<UpstreamResponse> listener;

    private UpstreamConnection connection;
    /** Completes when the last byte is handed to the network; null until the last part is being written. */
    private Future<?> requestWritten;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param timeoutMs the attempt timeout
     * @param listener what is notified of the response and the outcome
     */
    UpstreamAttempt(
            RequestMessage request,
            double timeoutMs,
            Clock clock,
            Upstream.AttemptListener<UpstreamResponse> listener) {
        this.request = request;
        this.timeoutMs = timeoutMs;
        this.clock = clock;
        this.listener = listener;
        deadlineMs = clock.now() + timeoutMs;
    }

    RequestMessage request() {
        return request;
    }

    /** Returns the attempt timeout, from the creation of the attempt. */
    double timeoutMs() {
        return timeoutMs;
    }

    /** Returns the milliseconds left until the deadline, which connecting may have taken a part of. */
    double timeLeftMs() {
        return Math.max(MIN_TIME_LEFT_MS, deadlineMs - clock.now());
    }

    /** Sets the connection that the attempt is sent on. */
    void assignTo(UpstreamConnection assigned) {
        connection = assigned;
    }

    /** Sets the future of the request's last part. */
    void setRequestWritten(Future<?> lastPartWritten) {
        requestWritten = lastPartWritten;
    }

    /** Returns whether the outcome is still waited for. */
    boolean isAwaited() {
        return listener != null;
    }

    /** Returns whether the attempt may still be started on a connection that has come up. */
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

    /** Reports that the whole request is written. */
    void onRequestWritten() {
        if (listener != null) {
            listener.onRequestWritten();
        }
    }

    /** Reports that a response has begun whose body follows through the pipe. */
    void onResponseStreamStarted(UpstreamResponse head, BodyPipe body) {
        listener.onResponseStreamStarted(head, body);
    }

    /** Reports the outcome, unless it is reported already or no longer awaited. */
    void finish(AttemptOutcome outcome, UpstreamResponse response) {
        Upstream.AttemptListener<UpstreamResponse> notified = listener;
        listener = null;
        if (notified != null) {
            notified.onFinished(outcome, response);
        }
    }
}
