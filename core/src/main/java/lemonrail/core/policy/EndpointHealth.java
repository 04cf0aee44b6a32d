package lemonrail.core.policy;

/** The outlier detection state of one endpoint: failures, health state and backoff. */
final class EndpointHealth {

    /** Weight of a new outcome in the failure rate. */
    private static final double SMOOTHING_FACTOR = 1.0 / 4;
    /** The maximum of the failure count, which bounds the ejection time. */
    private static final int MAX_CONSECUTIVE_FAILURES = 5;
    /** The maximum n: a probing endpoint needs 2^n successes, where n is its number of consecutive failures. */
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

    /** Returns whether it gets no new slots now, after an ejection, a full queue or an isolated connect failure. */
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

    /** Records a failure that is not attributed to chance. The endpoint becomes or stays an outlier. */
    void recordFailure() {
        consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_CONSECUTIVE_FAILURES);
        successfulProbes = 0;
        outlier = true;
    }

    /** Records a success. A probing endpoint becomes healthy after enough successes. */
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

    /** Makes the endpoint healthy whatever its previous outcomes. The count of failed connects in a row is kept. */
    void reset() {
        outlier = false;
        consecutiveFailures = 0;
        failureRate = 0;
        backoffUntilMs = 0;
    }
}
