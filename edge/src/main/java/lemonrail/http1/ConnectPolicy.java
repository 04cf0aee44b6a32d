package lemonrail.http1;

import lemonrail.time.Clock;

/**
 * Decides whether an attempt reuses an idle connection, opens a new one, or fails because too many are open.
 * Confined to the pool's event loop.
 */
final class ConnectPolicy {

    /**
     * How long a connection rests between a response and its reuse. Stray bytes that an endpoint sends after
     * a response arrive within this time; later they would pass for the next response.
     */
    private static final double MIN_IDLE_BEFORE_REUSE_MS = 10;

    private static final ConnectDecision OPEN = new ConnectDecision.Open();

    private final Clock clock;
    private final IdleConnections idleConnections;
    private int maxConnections;
    private int openConnections;

    ConnectPolicy(Clock clock, IdleConnections idleConnections, int maxConnections) {
        this.clock = clock;
        this.idleConnections = idleConnections;
        this.maxConnections = maxConnections;
    }

    /** Sets how many connections may be open at once. Connections above that close as others are opened. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    /** Counts a connection that is being opened. */
    void onConnectionOpened() {
        openConnections++;
    }

    /** Counts a connection that has closed or could not be opened. */
    void onConnectionClosed() {
        openConnections--;
    }

    /**
     * Chooses the connection for an attempt. Closes idle connections that are unusable or, where a new one is
     * needed and the bound is reached, those idle the longest.
     *
     * @param endpoint the endpoint's connections, or null where the endpoint is not known
     */
    ConnectDecision decide(String endpointId, EndpointConnections endpoint) {
        UpstreamConnection reusable =
                endpoint == null ? null : endpoint.findReusable(clock.now() - MIN_IDLE_BEFORE_REUSE_MS);
        if (reusable != null) {
            return new ConnectDecision.Reuse(reusable);
        }
        if (endpoint == null || !endpoint.hasAddress()) {
            return new ConnectDecision.Refuse("no address is known for " + endpointId);
        }
        if (!makeRoomForOne()) {
            return new ConnectDecision.Refuse("all " + maxConnections + " connections to endpoints are busy");
        }
        return OPEN;
    }

    private boolean makeRoomForOne() {
        for (int excess = openConnections - maxConnections; excess >= 0; excess--) {
            if (!idleConnections.closeLongestIdle()) {
                return openConnections < maxConnections;
            }
        }
        return true;
    }
}
