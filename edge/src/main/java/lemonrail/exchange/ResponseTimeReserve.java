package lemonrail.exchange;

/**
 * Computes the part of a client timeout that is reserved for delivering the final response. It allows for the network,
 * and for the lag with which the event loop detects an attempt timeout.
 */
final class ResponseTimeReserve {

    /** The fraction of the client timeout that is reserved for the network. */
    private static final double NETWORK_FRACTION = 0.01;

    private static final double MIN_NETWORK_MS = 2;
    /** The total reserve is at most this fraction of the client timeout. */
    private static final double MAX_FRACTION = 0.25;

    private ResponseTimeReserve() {}

    /** Returns the reserve in milliseconds, which is 0 if the client timeout has passed. */
    static double reserveMs(double clientTimeoutMs, double loopLagMs) {
        double networkMs = Math.max(MIN_NETWORK_MS, NETWORK_FRACTION * clientTimeoutMs);
        return Math.min(networkMs + loopLagMs, MAX_FRACTION * Math.max(0, clientTimeoutMs));
    }
}
