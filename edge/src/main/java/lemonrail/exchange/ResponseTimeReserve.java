package lemonrail.exchange;

/**
 * How much of a client's time is kept for the final answer's way back: for the network, and for how late the
 * event loop may be when it gives an attempt up.
 */
final class ResponseTimeReserve {

    /** The part of a client's time that the network may take, and the least that is kept for it. */
    private static final double NETWORK_SHARE = 0.01;

    private static final double LEAST_NETWORK_MS = 2;
    /** The part of a client's time that is kept at most. */
    private static final double MOST_SHARE = 0.25;

    private ResponseTimeReserve() {}

    /** The allowance, in milliseconds, of who waits so long, while the loop has been so late. */
    static double reserveMs(double waitMs, double loopLateMs) {
        double networkMs = Math.max(LEAST_NETWORK_MS, NETWORK_SHARE * waitMs);
        return Math.min(networkMs + loopLateMs, MOST_SHARE * Math.max(0, waitMs));
    }
}
