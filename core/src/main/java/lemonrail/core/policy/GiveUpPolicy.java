package lemonrail.core.policy;

import lemonrail.core.balancer.BalancerSettings;

/** Decides how a request that cannot be served is answered. */
final class GiveUpPolicy {

    /** The Retry-After of a rejection, as a fraction of the longest that is allowed. */
    private static final double RETRY_AFTER_FRACTION = 0.25;

    private double maxRetryAfterMs;

    GiveUpPolicy(BalancerSettings settings) {
        onSettings(settings);
    }

    /** Adopts a changed bound of Retry-After. */
    void onSettings(BalancerSettings changed) {
        maxRetryAfterMs = changed.limits().maxRetryAfterMs();
    }

    /** Decides: a request is rejected if it has certainly not run, or may run again; else it fails. */
    FinalResponse decide(InFlightRequest request) {
        boolean hasCertainlyNotRun = request.firstPossibleExecution() == null && request.attemptsInFlight() == 0;
        return hasCertainlyNotRun || request.requestClass().mayRejectAfterExecution()
                ? FinalResponse.REJECT
                : FinalResponse.FAIL;
    }

    /** Returns the Retry-After of a rejection. Each carries one, though few clients may obey it: it costs nothing. */
    double retryAfterMs() {
        return maxRetryAfterMs * RETRY_AFTER_FRACTION;
    }
}
