package lemonrail.core;

/**
 * Estimates the fraction of recently forwarded requests that were served. A recorded request loses weight with each
 * later request, not with time, so that the mean of the estimates of many low-traffic processes is close to the
 * fraction over all their requests.
 */
public final class AdmissionRate {

    /** The fraction of its weight that a recorded request loses with each later request. */
    private static final double DECAY_PER_REQUEST = 1.0 / 32;

    private double forwarded;
    private double served;

    /** Records a request. Requests that were not forwarded to any endpoint are ignored. */
    public void recordRequest(boolean wasForwarded) {
        if (wasForwarded) {
            forwarded += 1 - DECAY_PER_REQUEST * forwarded;
            served -= DECAY_PER_REQUEST * served;
        }
    }

    /** Records that a forwarded request was served. */
    public void recordServed() {
        served++;
    }

    /**
     * Returns the estimated fraction of forwarded requests that were served, from 0 to 1.
     *
     * @param prior the estimate before any request is recorded; its influence falls with each recorded request
     */
    public double estimate(double prior) {
        return Math.min(1, (served + prior) / (forwarded + 1));
    }
}
