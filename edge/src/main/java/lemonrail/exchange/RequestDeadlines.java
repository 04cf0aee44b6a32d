package lemonrail.exchange;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.time.Clock;

/**
 * Computes when the response to a request is due and until when its attempts may start. Times are in milliseconds;
 * points in time are those of the event loop's {@link Clock}.
 */
final class RequestDeadlines {

    /** A request without a final response is abandoned this long after the response was due. */
    private static final double DECISION_GRACE_MS = 5;
    /** The fraction of the drain grace period during which attempts at a draining endpoint may still start. */
    private static final double DRAIN_GRACE_FRACTION = 0.5;
    /**
     * The fraction of the deduplication window in which a retry may start. The rest of the window allows for the time
     * that the retry takes to reach the endpoint.
     */
    private static final double RETRY_WINDOW_FRACTION = 0.95;
    /**
     * The time after reading has stopped during which a client is taken to be still connected. It is below the time
     * that an attempt may start after a disconnect.
     */
    private static final double MAX_UNREAD_MS = 50;

    private final Clock clock;
    private final EventLoopTimers timers;

    RequestDeadlines(Clock clock, EventLoopTimers timers) {
        this.clock = clock;
        this.timers = timers;
    }

    /**
     * Returns when the final response must be written for the client to receive it in time. Time is reserved for the
     * network and for the event loop's recent lag: if an attempt timed out only at the client's deadline, the client
     * would always be notified too late.
     */
    double responseDueMs(PendingRequest<?, ?> request) {
        return request.deadlineMs() - reserveMs(request);
    }

    private double reserveMs(PendingRequest<?, ?> request) {
        return ResponseTimeReserve.reserveMs(
                request.clientTimeoutMs(), clock.lag().recentMaxLagMs());
    }

    /**
     * Returns how long an attempt may still take. While the client's timeout has not started, the time is measured from
     * the end of the request body.
     */
    double remainingMs(PendingRequest<?, ?> request, double nowMs) {
        return request.bodyState() == RequestBodyState.AWAITED
                ? request.clientTimeoutMs() - reserveMs(request)
                : responseDueMs(request) - nowMs;
    }

    /**
     * Starts the client's timeout, because the last byte of a large request body has arrived or may have arrived since
     * all input was last read.
     */
    void startClientTimeout(PendingRequest<?, ?> request) {
        request.setDeadlineMs(clock.now() - clock.maxQueueDelayMs() + request.clientTimeoutMs());
    }

    /** Notes that reading of a request's body has stopped. Its input may have waited to be read until now. */
    void holdBackBody(PendingRequest<?, ?> request) {
        request.holdBackBody(clock.now() - clock.maxQueueDelayMs());
    }

    /**
     * Returns whether the client may have disconnected without notice, because its disconnect would be behind input
     * that has not been read for some time. No attempt of such a request may start.
     */
    boolean mayBeDisconnected(PendingRequest<?, ?> request) {
        return request.isHeldBackSince(clock.now() - MAX_UNREAD_MS);
    }

    /** Runs {@code onTimeout} shortly after the response is due, unless the request is concluded before then. */
    void startDecisionTimeout(PendingRequest<?, ?> request, Runnable onTimeout) {
        double delayMs = responseDueMs(request) - clock.now() + DECISION_GRACE_MS;
        request.setDecisionTimeout(timers.schedule(delayMs, onTimeout));
    }

    /**
     * Returns the latest time at which the next attempt may start. The retries of a keyed request must arrive within
     * the deduplication window, which begins at the first attempt.
     */
    double nextAttemptWindowEndMs(PendingRequest<?, ?> request, RequestClass requestClass, double nowMs) {
        if (requestClass.idempotency() == Idempotency.KEYED
                && request.attempts().isEmpty()) {
            request.setRetryWindowEndMs(nowMs + requestClass.deduplicationWindowMs() * RETRY_WINDOW_FRACTION);
            return Double.POSITIVE_INFINITY;
        }
        return request.retryWindowEndMs();
    }

    /**
     * Applies an endpoint update to attempts that wait for a connection: limits their start time if their endpoint is
     * draining or gone, and lifts the limit if it is ready again.
     */
    <M extends ProtocolRequest, A> void limitStartsAtLeavingEndpoints(
            Collection<PendingRequest<M, A>> requests,
            EndpointUpdateKind kind,
            List<Endpoint> update,
            DrainSettings drain) {
        Map<String, EndpointState> states = new HashMap<>();
        update.forEach(endpoint -> states.put(endpoint.id(), endpoint.state()));
        EndpointState unlistedState = kind == EndpointUpdateKind.DELTA ? null : EndpointState.GONE;
        double latestStartMs = clock.now() + DRAIN_GRACE_FRACTION * drain.graceMs();
        for (PendingRequest<M, A> request : requests) {
            for (PendingAttempt attempt : request.attempts()) {
                EndpointState state = states.getOrDefault(attempt.endpoint(), unlistedState);
                if (state == EndpointState.READY) {
                    attempt.liftStartLimit();
                } else if (state != null) {
                    attempt.limitStart(latestStartMs);
                }
            }
        }
    }
}
