package lemonrail.core;

/**
 * The fraction of recently forwarded requests that were served. It is weighted by requests and not by time, so that
 * the mean over many processes with little traffic is close to the fraction over all their requests.
 */
public final class AdmissionRate {

    /** The fraction of its weight that a request loses with each later one. */
    private static final double DECAY_PER_REQUEST = 1.0 / 32;

    private double forwarded;
    private double served;

    /** Records a request; one that was not forwarded to any endpoint does not count. */
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
     * Returns the fraction served, from 0 to 1.
     *
     * @param prior the estimate to use as long as few requests are known
     */
    public double estimate(double prior) {
        return Math.min(1, (served + prior) / (forwarded + 1));
    }
}
