package lemonrail.core;

/**
 * Estimates how often connects to healthy endpoints fail by chance. Failures are counted only once a later connect to
 * the same endpoint has succeeded, so that failures at dead endpoints are not attributed to chance.
 */
public final class ConnectFailureRate {

    /** Weight of a new connect in the moving average of the failure rate. */
    private static final double SMOOTHING_FACTOR = 1.0 / 16;
    /** Consecutive failures are attributed to chance only if their probability is above this. */
    private static final double MIN_CHANCE_PROBABILITY = 0.05;
    /**
     * Failures counted of one series. A longer series means that the endpoint was unavailable, so the rest is ignored.
     */
    private static final int MAX_COUNTED_FAILURES = 2;

    private double failureRate;

    /** Records a connect that succeeded after this many consecutive failures at the same endpoint. */
    public void recordSuccess(int precedingFailures) {
        for (int i = 0; i < Math.min(precedingFailures, MAX_COUNTED_FAILURES); i++) {
            failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        }
        failureRate -= SMOOTHING_FACTOR * failureRate;
    }

    /** Returns whether this many consecutive connect failures at one endpoint are probable even if it is healthy. */
    public boolean isProbablyChance(int consecutiveFailures) {
        return Math.pow(failureRate, consecutiveFailures) > MIN_CHANCE_PROBABILITY;
    }
}
