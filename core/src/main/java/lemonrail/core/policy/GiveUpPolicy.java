package lemonrail.core.policy;

import lemonrail.core.balancer.BalancerSettings;

/** Decides on the final response to a request that cannot be served. */
final class GiveUpPolicy {

    /** The Retry-After of a rejection, as a fraction of the maximum allowed. */
    private static final double RETRY_AFTER_FRACTION = 0.25;

    private double maxRetryAfterMs;

    GiveUpPolicy(BalancerSettings settings) {
        onSettings(settings);
    }

    /** Applies a changed maximum of Retry-After. */
    void onSettings(BalancerSettings changed) {
        maxRetryAfterMs = changed.limits().maxRetryAfterMs();
    }

    /** Returns {@code REJECT} for a request that has certainly not run or may run again, {@code FAIL} for any other. */
    FinalResponse decide(InFlightRequest request) {
        boolean hasCertainlyNotRun = request.firstPossibleExecution() == null && request.attemptsInFlight() == 0;
        return hasCertainlyNotRun || request.requestClass().mayRejectAfterExecution()
                ? FinalResponse.REJECT
                : FinalResponse.FAIL;
    }

    /**
     * Returns the Retry-After of a rejection in milliseconds. Every rejection carries one, although few clients may
     * respect it, because it costs nothing.
     */
    double retryAfterMs() {
        return maxRetryAfterMs * RETRY_AFTER_FRACTION;
    }
}
