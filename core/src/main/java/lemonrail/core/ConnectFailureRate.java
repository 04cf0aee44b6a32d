package lemonrail.core;

/**
 * How often connections do not come up though their server is well. A failure counts only once a connection
 * to the same server has come up after it: so dead servers do not make it look as if that were chance.
 */
public final class ConnectFailureRate {

    /** Weight of a new connection, and what an occurrence must be more likely than to pass for chance. */
    private static final double GAIN = 1.0 / 16;

    private static final double CHANCE = 0.05;
    /** The most failures in a row that count: more are a server's that was away for a while. */
    private static final int MOST_COUNTED = 2;

    private double share;

    /** A connection has come up, after so many in a row that did not. */
    public void cameUp(int failedBefore) {
        for (int i = 0; i < Math.min(failedBefore, MOST_COUNTED); i++) {
            share += GAIN * (1 - share);
        }
        share -= GAIN * share;
    }

    /** Whether so many failures in a row at one server may well be chance. */
    public boolean explains(int failures) {
        return Math.pow(share, failures) > CHANCE;
    }
}
