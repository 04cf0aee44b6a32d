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
 * The times by which a request's response is due and its attempts must have started. Times are in milliseconds,
 * instants on the host's clock.
 */
final class RequestDeadlines {

    /** A request that is not concluded so long after its response was due is abandoned. */
    private static final double DECISION_GRACE_MS = 5;
    /** The part of the drain grace in which attempts at a leaving endpoint may still start. */
    private static final double DRAIN_GRACE_FRACTION = 0.5;
    /** The part of the deduplication window in which a retry may start, as it takes a while to arrive. */
    private static final double RETRY_WINDOW_FRACTION = 0.95;

    private final Clock clock;
    private final EventLoopTimers timers;

    RequestDeadlines(Clock clock, EventLoopTimers timers) {
        this.clock = clock;
        this.timers = timers;
    }

    /**
     * Returns when the final response must be written for the client to receive it in time. Time is reserved for the
     * network and for the event loop's recent lag: an attempt that timed out at the client's deadline itself would
     * always be reported too late.
     */
    double responseDueMs(PendingRequest<?, ?> request) {
        return request.deadlineMs() - reserveMs(request);
    }

    private double reserveMs(PendingRequest<?, ?> request) {
        return ResponseTimeReserve.reserveMs(
                request.clientTimeoutMs(), clock.lag().recentMaxLagMs());
    }

    /** Returns how long an attempt that starts now may take; for a body still arriving, counted from its end. */
    double remainingMs(PendingRequest<?, ?> request, double nowMs) {
        return request.message().isBodyArriving()
                ? request.clientTimeoutMs() - reserveMs(request)
                : responseDueMs(request) - nowMs;
    }

    /** Counts the client's time from now, as the rest of a large body has been received. */
    void restart(PendingRequest<?, ?> request) {
        request.setDeadlineMs(clock.now() - clock.maxQueueDelayMs() + request.clientTimeoutMs());
    }

    /** Runs {@code onTimeout} shortly after the response was due, unless the request is concluded before. */
    void startDecisionTimeout(PendingRequest<?, ?> request, Runnable onTimeout) {
        double delayMs = responseDueMs(request) - clock.now() + DECISION_GRACE_MS;
        request.setDecisionTimeout(timers.schedule(delayMs, onTimeout));
    }

    /**
     * Returns until when the next attempt may start. The retries of a keyed request must arrive within the
     * deduplication window, which counts from its first attempt.
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
     * Limits when attempts that wait for a connection may start, as far as their endpoints are leaving by an update,
     * and lifts the limit for endpoints that are ready again.
     */
    <M extends ProtocolRequest, A> void limitStartsAtLeavingEndpoints(
            Collection<PendingRequest<M, A>> requests,
            EndpointUpdateKind kind,
            List<Endpoint> update,
            DrainSettings drain) {
        Map<String, EndpointState> states = new HashMap<>();
        update.forEach(endpoint -> states.put(endpoint.id(), endpoint.state()));
        EndpointState unlisted = kind == EndpointUpdateKind.DELTA ? null : EndpointState.GONE;
        double latestStartMs = clock.now() + DRAIN_GRACE_FRACTION * drain.graceMs();
        for (PendingRequest<M, A> request : requests) {
            for (PendingAttempt attempt : request.attempts()) {
                EndpointState state = states.getOrDefault(attempt.endpoint(), unlisted);
                if (state == EndpointState.READY) {
                    attempt.liftStartLimit();
                } else if (state != null) {
                    attempt.limitStart(latestStartMs);
                }
            }
        }
    }
}
