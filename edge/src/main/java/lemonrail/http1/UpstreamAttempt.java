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
    private final double waitMs;
    private final double deadlineMs;
    private final Clock clock;
    /** Null once the outcome is reported or the attempt is given up. */
    private Upstream.Ending<UpstreamResponse> ending;

    private UpstreamConnection connection;
    /** Completes when the last byte is handed to the network; null until the last part is being written. */
    private Future<?> requestWritten;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param waitMs how long its response is waited for
     * @param ending what is notified of the response and the outcome
     */
    UpstreamAttempt(RequestMessage request, double waitMs, Clock clock, Upstream.Ending<UpstreamResponse> ending) {
        this.request = request;
        this.waitMs = waitMs;
        this.clock = clock;
        this.ending = ending;
        deadlineMs = clock.now() + waitMs;
    }

    RequestMessage request() {
        return request;
    }

    /** Returns how long the response was to be waited for as the attempt was created, in milliseconds. */
    double waitMs() {
        return waitMs;
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
        return ending != null;
    }

    /** Returns whether the attempt may still be started on a connection that has come up. */
    boolean mayStart() {
        return ending != null && ending.mayBegin();
    }

    @Override
    public boolean mayHaveRun() {
        return requestWritten != null && requestWritten.isSuccess();
    }

    @Override
    public boolean giveUp() {
        ending = null;
        connection.close();
        return mayHaveRun();
    }

    /** Reports that the whole request is written. */
    void onRequestWritten() {
        if (ending != null) {
            ending.written();
        }
    }

    /** Reports that a response has begun whose body follows through the pipe. */
    void onResponseStreamStarted(UpstreamResponse head, BodyPipe body) {
        ending.streaming(head, body);
    }

    /** Reports the outcome, unless it is reported already or no longer awaited. */
    void finish(AttemptOutcome outcome, UpstreamResponse response) {
        Upstream.Ending<UpstreamResponse> notified = ending;
        ending = null;
        if (notified != null) {
            notified.ended(outcome, response);
        }
    }
}
