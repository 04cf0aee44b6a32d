package lemonrail.core;

/**
 * How often connects fail at endpoints that are healthy. Failures count only once a later connect to the same
 * endpoint has succeeded, so that failures at dead endpoints are not taken for chance.
 */
public final class ConnectFailureRate {

    /** Weight of a new connect in the moving average. */
    private static final double SMOOTHING_FACTOR = 1.0 / 16;
    /** Consecutive failures that are less probable than this are not chance. */
    private static final double MIN_CHANCE_PROBABILITY = 0.05;
    /** More consecutive failures than this mean that the endpoint was away; the rest is not counted. */
    private static final int MAX_COUNTED_FAILURES = 2;

    private double failureRate;

    /** Records a connect that succeeded after this many consecutive failures at the same endpoint. */
    public void recordSuccess(int precedingFailures) {
        for (int i = 0; i < Math.min(precedingFailures, MAX_COUNTED_FAILURES); i++) {
            failureRate += SMOOTHING_FACTOR * (1 - failureRate);
        }
        failureRate -= SMOOTHING_FACTOR * failureRate;
    }

    /** Returns whether this many consecutive failures at one endpoint may well be chance. */
    public boolean isProbablyChance(int consecutiveFailures) {
        return Math.pow(failureRate, consecutiveFailures) > MIN_CHANCE_PROBABILITY;
    }
}
