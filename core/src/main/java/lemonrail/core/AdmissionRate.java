package lemonrail.core;

/**
 * The share of recent requests that were served. It goes by their count and not by time: the shares of many
 * processes with little traffic, each weighed by its traffic, come near that of them all.
 */
public final class AdmissionRate {

    /** What a request's weight loses with each one after it. */
    private static final double FADE = 1.0 / 32;

    private double sent;
    private double served;

    /** A request has come; one that was not sent anywhere tells nothing. */
    public void came(boolean sentOn) {
        if (sentOn) {
            sent += 1 - FADE * sent;
            served -= FADE * served;
        }
    }

    /** A request that was sent has been served. */
    public void served() {
        served++;
    }

    /** The share, from 0 to 1; as long as few requests are known, near the one that is given for unknown. */
    public double share(double unknown) {
        return Math.min(1, (served + unknown) / (sent + 1));
    }
}
