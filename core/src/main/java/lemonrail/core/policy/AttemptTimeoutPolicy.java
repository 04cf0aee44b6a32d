package lemonrail.core.policy;

import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Idempotency;

/**
 * Decides how long to wait for an attempt, so that a hung endpoint does not use up all of a request's time while
 * another endpoint could serve it.
 */
final class AttemptTimeoutPolicy {

    /** The timeout of an attempt that may be followed by a retry, as a multiple of its class's tail latency. */
    private static final double ATTEMPT_TIMEOUT_TAIL_MULTIPLE = 1.5;

    private AttemptLimits limits;

    AttemptTimeoutPolicy(BalancerSettings settings) {
        onSettings(settings);
    }

    /** Applies changed limits on attempts. */
    void onSettings(BalancerSettings changed) {
        limits = changed.limits();
    }

    /** Returns the timeout of the request's next attempt, in milliseconds. */
    double timeoutMs(double nowMs, InFlightRequest request) {
        double remainingMs = request.usefulUntilMs() - nowMs;
        double attemptTimeoutMs =
                Math.max(request.latency().tailMs() * ATTEMPT_TIMEOUT_TAIL_MULTIPLE, limits.connectTimeoutMs());
        boolean leavesTimeForRetry =
                remainingMs - attemptTimeoutMs > request.latency().typicalMs();
        return mayRetry(request) && leavesTimeForRetry ? attemptTimeoutMs : remainingMs;
    }

    private boolean mayRetry(InFlightRequest request) {
        return request.requestClass().idempotency() != Idempotency.NON_IDEMPOTENT
                && request.attempts().size() + 1 < limits.maxAttempts();
    }
}
