package lemonrail.core.policy;

import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Idempotency;

/**
 * Decides how long to wait for an attempt: a hung endpoint must not use up all of a request's time while another could
 * serve it.
 */
final class AttemptTimeoutPolicy {

    /** The timeout of an attempt that could be repeated, as a multiple of its class's tail latency. */
    private static final double ATTEMPT_TIMEOUT_TAIL_MULTIPLE = 1.5;

    private AttemptLimits limits;

    AttemptTimeoutPolicy(BalancerSettings settings) {
        onSettings(settings);
    }

    /** Adopts changed bounds of attempts. */
    void onSettings(BalancerSettings changed) {
        limits = changed.limits();
    }

    /** Returns the timeout of the request's next attempt, in milliseconds. */
    double timeoutMs(double nowMs, InFlightRequest request) {
        double remainingMs = request.usefulUntilMs() - nowMs;
        double attemptTimeoutMs =
                Math.max(request.latency().tailMs() * ATTEMPT_TIMEOUT_TAIL_MULTIPLE, limits.connectTimeoutMs());
        boolean isTimeForRetry =
                remainingMs - attemptTimeoutMs > request.latency().typicalMs();
        return mayRepeat(request) && isTimeForRetry ? attemptTimeoutMs : remainingMs;
    }

    private boolean mayRepeat(InFlightRequest request) {
        return request.requestClass().idempotency() != Idempotency.NON_IDEMPOTENT
                && request.attempts().size() + 1 < limits.maxAttempts();
    }
}
