package lemonrail.http1;

import lemonrail.time.Clock;

/**
 * Decides whether an attempt reuses an idle connection, opens a new one, or fails because too many are open or no
 * address is known. Confined to the pool's event loop.
 */
final class ConnectPolicy {

    /**
     * The minimum time between a response and the reuse of its connection. Surplus bytes that an endpoint sends after a
     * response are expected to arrive within this time. If they arrived after the reuse, they would be taken for the
     * next response.
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

    /**
     * Sets the maximum number of open connections. Idle connections above it are closed when a new one is to be opened.
     */
    void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    /** Counts a connection that is being opened. */
    void onConnectionOpened() {
        openConnections++;
    }

    /** Counts a connection that has been closed or could not be opened. */
    void onConnectionClosed() {
        openConnections--;
    }

    /**
     * Chooses the connection for an attempt. Closes idle connections that are unusable, and those that have been idle
     * the longest if a new connection is needed and the maximum has been reached.
     *
     * @param endpoint the endpoint's connections, or null if the endpoint is unknown
     */
    ConnectDecision decide(String endpointId, EndpointConnections endpoint) {
        UpstreamConnection reusable =
                endpoint == null ? null : endpoint.findReusable(clock.now() - MIN_IDLE_BEFORE_REUSE_MS);
        if (reusable != null) {
            return new ConnectDecision.Reuse(reusable);
        }
        if (endpoint == null || !endpoint.hasAddress()) {
            return new ConnectDecision.Fail("no address is known for endpoint " + endpointId);
        }
        if (!makeRoomForOne()) {
            return new ConnectDecision.Fail("all " + maxConnections + " connections to endpoints are busy");
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
