package lemonrail.core.policy;

/** What outlier detection has learned of one endpoint: failures, health state and backoff. */
final class EndpointHealth {

    /** Weight of a new outcome in the failure rate. */
    private static final double SMOOTHING_FACTOR = 1.0 / 4;
    /** The failure count stops growing here, which bounds the ejection time. */
    private static final int MAX_CONSECUTIVE_FAILURES = 5;
    /** A probing endpoint needs 2 to the power of its failures successes, at most 2 to the power of this. */
    private static final int MAX_PROBE_EXPONENT = 3;

    /** Whether it is ejected or probing. */
    private boolean outlier;

    private double backoffUntilMs;
    private int consecutiveFailures;
    private int successfulProbes;
    /** Moving average of outcomes: 0 for a success, 1 for a failure. */
    private double failureRate;
    /** Failed connects in a row; reset by a connect that succeeds. */
    private int consecutiveConnectFailures;

    HealthState state(double nowMs) {
        if (!outlier) {
            return HealthState.HEALTHY;
        }
        return isBackingOff(nowMs) ? HealthState.EJECTED : HealthState.PROBING;
    }

    /** Returns whether it is ejected or probing. */
    boolean isOutlier() {
        return outlier;
    }

    /** Returns whether it gets no new slots now, because it was ejected or because its queue was full. */
    boolean isBackingOff(double nowMs) {
        return nowMs < backoffUntilMs;
    }

    /** Extends the backoff to this time; it is never shortened. */
    void backOffUntil(double untilMs) {
        backoffUntilMs = Math.max(backoffUntilMs, untilMs);
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Records a failed outcome and returns the failure rate with it. */
    double recordFailedOutcome() {
        failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        return failureRate;
    }

    /** Records a failure that chance does not explain: the endpoint becomes or stays an outlier. */
    void recordFailure() {
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_CONSECUTIVE_FAILURES);
        successfulProbes = 0;
        outlier = true;
    }

    /** Records a success; a probing endpoint becomes healthy by enough of them. */
    void recordSuccess() {
        failureRate -= SMOOTHING_FACTOR * failureRate;
        if (!outlier) {
            consecutiveFailures = 0;
            return;
        }
        successfulProbes++;
        if (successfulProbes >= 1 << Math.min(consecutiveFailures, MAX_PROBE_EXPONENT)) {
            outlier = false;
            consecutiveFailures /= 2;
        }
    }

    int consecutiveConnectFailures() {
        return consecutiveConnectFailures;
    }

    void recordConnectFailure() {
        consecutiveConnectFailures++;
    }

    void recordConnectSuccess() {
        consecutiveConnectFailures = 0;
    }

    /** Makes the endpoint healthy without regard to its outcomes so far. */
    void reset() {
        outlier = false;
        consecutiveFailures = 0;
        failureRate = 0;
        backoffUntilMs = 0;
    }
}
