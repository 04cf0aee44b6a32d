package lemonrail.http1;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** One endpoint's address and idle connections. Confined to the pool's event loop. */
final class EndpointConnections {

    private final Deque<UpstreamConnection> leastRecentlyUsedFirst = new ArrayDeque<>();
    /** Null while the address is assigned to another endpoint. */
    private InetSocketAddress address;

    private double startedMs;
    private int generation;

    InetSocketAddress address() {
        return address;
    }

    boolean hasAddress() {
        return address != null;
    }

    void setAddress(InetSocketAddress address) {
        this.address = address;
    }

    void clearAddress() {
        address = null;
    }

    /** Returns the start time of the endpoint's process according to the endpoint list, in milliseconds. */
    double startedMs() {
        return startedMs;
    }

    /**
     * Updates the address and the start time of the endpoint's process; if either has changed, connections to the
     * previous process are invalidated.
     */
    void updateProcess(InetSocketAddress newAddress, double newStartedMs) {
        if (!newAddress.equals(address) || newStartedMs != startedMs) {
            invalidate();
        }
        startedMs = newStartedMs;
    }

    /** Returns a number that changes whenever the existing connections are invalidated. */
    int generation() {
        return generation;
    }

    /** Closes idle connections, and makes connections in use close after their response. */
    void invalidate() {
        generation++;
        closeIdle();
    }

    void closeIdle() {
        List.copyOf(leastRecentlyUsedFirst).forEach(UpstreamConnection::close);
    }

    void addIdle(UpstreamConnection connection) {
        leastRecentlyUsedFirst.addLast(connection);
    }

    void removeIdle(UpstreamConnection connection) {
        leastRecentlyUsedFirst.remove(connection);
    }

    /**
     * Returns the most recently used connection that became idle no later than {@code idleSinceMs} and on which nothing
     * has arrived since, or null if there is none. Closes the unusable connections that it finds.
     */
    UpstreamConnection findReusable(double idleSinceMs) {
        List<UpstreamConnection> unusable = new ArrayList<>(0);
        UpstreamConnection reusable = null;
        Iterator<UpstreamConnection> mostRecentFirst = leastRecentlyUsedFirst.descendingIterator();
        while (reusable == null && mostRecentFirst.hasNext()) {
            UpstreamConnection connection = mostRecentFirst.next();
            if (connection.idleSinceMs() > idleSinceMs) {
                continue;
            }
            if (connection.hasNoInput()) {
                reusable = connection;
            } else {
                unusable.add(connection);
            }
        }
        unusable.forEach(UpstreamConnection::close);
        return reusable;
    }
}
