package lemonrail.http1;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import lemonrail.time.Clock;

/**
 * The open connections of clients, bounded in number, and the order in which they are evicted for new ones. Up
 * to a fixed part of them is reserved for returning clients, first come, first served: however many others
 * connect and send requests, they compete for the rest only, where each connection gets one request at a time.
 * Confined to the server's event loop.
 */
final class ClientConnectionTable {

    /** One in this many connections may be reserved. */
    private static final int RESERVED_ONE_IN = 2;
    /** A connection that has been inactive for this time is not about to send a request. */
    private static final int INACTIVE_MS = HttpServer.QUIET_MS;

    private final Clock clock;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Those without any request so far, and those whose last response is handed over; the oldest first. */
    private final Set<ClientConnection> expendable = new LinkedHashSet<>();
    /** Those with no request in flight, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Those with a request after a response while there was a reserved place, the oldest first. */
    private final Set<ClientConnection> reserved = new LinkedHashSet<>();

    private int maxConnections;

    ClientConnectionTable(Clock clock, int maxConnections) {
        this.clock = clock;
        this.maxConnections = maxConnections;
    }

    /** Sets how many connections may be open; those that were reserved last lose their place first. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
        List.copyOf(reserved).stream().skip(maxReserved()).forEach(reserved::remove);
    }

    private int maxReserved() {
        return maxConnections / RESERVED_ONE_IN;
    }

    List<ClientConnection> all() {
        return List.copyOf(open);
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    int size() {
        return open.size();
    }

    /** Returns how many connections there are beyond the bound; below zero while there is room. */
    int excess() {
        return open.size() - maxConnections;
    }

    /** Adds a new connection, and returns whether there is room for it or another one could be evicted. */
    boolean add(ClientConnection connection) {
        open.add(connection);
        boolean withinBound = evictExcess();
        expendable.add(connection);
        return withinBound;
    }

    void remove(ClientConnection connection) {
        open.remove(connection);
        expendable.remove(connection);
        idle.remove(connection);
        reserved.remove(connection);
    }

    /** Notes that a request has been received on a connection. */
    void onRequest(ClientConnection connection) {
        expendable.remove(connection);
        if (idle.remove(connection) && reserved.size() < maxReserved()) {
            reserved.add(connection);
        }
    }

    /** Notes that all requests on a connection are responded to, and returns whether it is still open. */
    boolean onResponded(ClientConnection connection) {
        boolean known = open.contains(connection);
        if (known) {
            (connection.hasDispatched() ? idle : expendable).add(connection);
        }
        return known;
    }

    /** Notes that no response is awaited on a connection any more. */
    void onCancelled(ClientConnection connection) {
        if (open.contains(connection)) {
            expendable.add(connection);
        }
    }

    /** Returns whether others need the place of this connection, so that its next response is to be its last. */
    boolean isNeededByOthers(ClientConnection connection) {
        return excess() > 0 && !reserved.contains(connection) && excess() > closingConnections();
    }

    private long closingConnections() {
        return expendable.stream().filter(ClientConnection::isClosing).count();
    }

    /** Closes connections beyond the bound; returns false if one of them is left as none can be evicted. */
    private boolean evictExcess() {
        while (excess() > 0) {
            ClientConnection evicted = leastNeeded();
            if (evicted == null) {
                return false;
            }
            remove(evicted);
            evicted.close();
        }
        return true;
    }

    /**
     * Returns the connection to evict first, or null where each is needed: first one that has had its last
     * response, then one without any request, of these first one that has been inactive for a while, since a new
     * one is about to send a request; the oldest first of each kind. No connection is evicted on which bytes
     * wait to be read or a response is left to write, and no reserved one.
     */
    private ClientConnection leastNeeded() {
        double inactiveSinceMs = clock.now() - INACTIVE_MS;
        Predicate<ClientConnection> inactive = connection -> connection.isInactiveSince(inactiveSinceMs);
        Predicate<ClientConnection> unreserved = connection -> !reserved.contains(connection);
        return Stream.<Supplier<ClientConnection>>of(
                        () -> first(expendable, ClientConnection::isFinished),
                        () -> first(expendable, inactive.and(ClientConnection::isFree)),
                        () -> first(expendable, inactive.and(ClientConnection::isIdle)),
                        () -> first(expendable, ClientConnection::isIdle),
                        () -> first(idle, unreserved.and(ClientConnection::isFree)),
                        () -> first(idle, unreserved.and(ClientConnection::isIdle)))
                .map(Supplier::get)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    private static ClientConnection first(Set<ClientConnection> connections, Predicate<ClientConnection> condition) {
        return connections.stream().filter(condition).findFirst().orElse(null);
    }
}
