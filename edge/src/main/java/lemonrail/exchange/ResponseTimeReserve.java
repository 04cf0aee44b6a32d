package lemonrail.exchange;

/**
 * The part of a client timeout that is reserved for the final response: for the network, and for the event loop's lag
 * when it times an attempt out.
 */
final class ResponseTimeReserve {

    /** Reserved for the network, of the client timeout. */
    private static final double NETWORK_FRACTION = 0.01;

    private static final double MIN_NETWORK_MS = 2;
    /** The whole reserve is at most this part of the client timeout. */
    private static final double MAX_FRACTION = 0.25;

    private ResponseTimeReserve() {}

    /** Returns the reserve, in milliseconds; 0 if the client timeout is over. */
    static double reserveMs(double clientTimeoutMs, double loopLagMs) {
        double networkMs = Math.max(MIN_NETWORK_MS, NETWORK_FRACTION * clientTimeoutMs);
        return Math.min(networkMs + loopLagMs, MAX_FRACTION * Math.max(0, clientTimeoutMs));
    }
}
