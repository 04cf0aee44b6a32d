package lemonrail.http1;

import java.util.LinkedHashSet;
import java.util.Set;
import lemonrail.time.Clock;

/** The idle connections to all endpoints, in the order in which they became idle. Confined to the event loop. */
final class IdleConnections {

    /**
     * The fraction of an endpoint's idle timeout after which the sidecar closes an idle connection, so that the
     * endpoint does not close it first.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.5;

    private final Clock clock;
    private final double maxIdleMs;
    private final Set<UpstreamConnection> longestIdleFirst = new LinkedHashSet<>();

    /**
     * Creates an empty set.
     *
     * @param endpointIdleTimeoutMs the time in milliseconds after which an endpoint may close an idle connection
     */
    IdleConnections(Clock clock, double endpointIdleTimeoutMs) {
        this.clock = clock;
        maxIdleMs = endpointIdleTimeoutMs * IDLE_TIMEOUT_FRACTION;
    }

    /** Returns the maximum time that a connection may be idle, in milliseconds. */
    double maxIdleMs() {
        return maxIdleMs;
    }

    void add(UpstreamConnection connection) {
        longestIdleFirst.add(connection);
    }

    void remove(UpstreamConnection connection) {
        longestIdleFirst.remove(connection);
    }

    /** Closes the connection that has been idle the longest; returns false if there is no idle connection. */
    boolean closeLongestIdle() {
        if (longestIdleFirst.isEmpty()) {
            return false;
        }
        longestIdleFirst.iterator().next().close();
        return true;
    }

    /** Closes the connections that have been idle for longer than {@link #maxIdleMs}. */
    void closeExpired() {
        double expiredBefore = clock.now() - maxIdleMs;
        while (!longestIdleFirst.isEmpty() && longestIdleFirst.iterator().next().idleSinceMs() < expiredBefore) {
            closeLongestIdle();
        }
    }
}
