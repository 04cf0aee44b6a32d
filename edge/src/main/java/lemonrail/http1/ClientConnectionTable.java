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
 * The open client connections, bounded in number, and the order in which they are evicted for new ones. Up to a fixed
 * fraction of the maximum is reserved, first come, first served, for connections of returning clients, which are those
 * that send another request after a response. However many other clients connect and send requests, they compete only
 * for the remaining connections. While there are too many of them, each of these connections is closed after one
 * response. Confined to the server's event loop.
 */
final class ClientConnectionTable {

    /** The maximum number of connections divided by this number can be reserved. */
    private static final int RESERVED_DIVISOR = 2;
    /** A connection that has been inactive for this time is assumed not to be about to send a request. */
    private static final int INACTIVE_MS = HttpServer.DRAIN_IDLE_TIMEOUT_MS;

    private final Clock clock;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /**
     * The first connections to evict, the oldest first: those that have not sent a request yet, and those whose last
     * response has been passed to the channel.
     */
    private final Set<ClientConnection> evictedFirst = new LinkedHashSet<>();
    /** The connections that have had a request dispatched and have none in flight, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /**
     * The connections that sent another request after a response while a reservation was available, the oldest first.
     */
    private final Set<ClientConnection> reserved = new LinkedHashSet<>();

    private int maxConnections;

    ClientConnectionTable(Clock clock, int maxConnections) {
        this.clock = clock;
        this.maxConnections = maxConnections;
    }

    /** Sets the maximum number of connections. If too many are reserved, the latest reservations are cancelled. */
    void setMaxConnections(int connections) {
        maxConnections = connections;
        List.copyOf(reserved).stream().skip(maxReserved()).forEach(reserved::remove);
    }

    private int maxReserved() {
        return maxConnections / RESERVED_DIVISOR;
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

    /** Returns the number of connections above the maximum, which is negative while more can be opened. */
    int excess() {
        return open.size() - maxConnections;
    }

    /**
     * Adds a new connection, evicting others if necessary. Returns false if the maximum is exceeded because none could
     * be evicted.
     */
    boolean add(ClientConnection connection) {
        open.add(connection);
        boolean withinMaximum = evictExcess();
        evictedFirst.add(connection);
        return withinMaximum;
    }

    void remove(ClientConnection connection) {
        open.remove(connection);
        evictedFirst.remove(connection);
        idle.remove(connection);
        reserved.remove(connection);
    }

    /** Notes that a request has been received on a connection. */
    void onRequest(ClientConnection connection) {
        evictedFirst.remove(connection);
        if (idle.remove(connection) && reserved.size() < maxReserved()) {
            reserved.add(connection);
        }
    }

    /** Notes that all responses on a connection have been written, and returns whether the connection is still open. */
    boolean onResponded(ClientConnection connection) {
        boolean isOpen = open.contains(connection);
        if (isOpen) {
            (connection.hasDispatched() ? idle : evictedFirst).add(connection);
        }
        return isOpen;
    }

    /** Notes that the pending requests of a connection have been cancelled. */
    void onCancelled(ClientConnection connection) {
        if (open.contains(connection)) {
            evictedFirst.add(connection);
        }
    }

    /** Returns whether this connection must close after its next response to bring the number of connections down. */
    boolean mustCloseForOthers(ClientConnection connection) {
        return excess() > 0 && !reserved.contains(connection) && excess() > closingConnections();
    }

    private long closingConnections() {
        return evictedFirst.stream().filter(ClientConnection::isClosing).count();
    }

    /** Closes connections until the maximum is no longer exceeded; returns false if this is not possible. */
    private boolean evictExcess() {
        while (excess() > 0) {
            ClientConnection evicted = nextToEvict();
            if (evicted == null) {
                return false;
            }
            remove(evicted);
            evicted.close();
        }
        return true;
    }

    /**
     * Returns the connection to evict next, or null if none can be evicted. Connections that have had their last
     * response come first, then those without any request, then idle ones; within each kind, the oldest comes first.
     * Among connections without any request, inactive ones come first, because a new connection is probably about to
     * send a request. A connection is not evicted if it is reserved, has unread bytes, or has a response left to write.
     */
    private ClientConnection nextToEvict() {
        double inactiveSinceMs = clock.now() - INACTIVE_MS;
        Predicate<ClientConnection> inactive = connection -> connection.isInactiveSince(inactiveSinceMs);
        Predicate<ClientConnection> unreserved = connection -> !reserved.contains(connection);
        return Stream.<Supplier<ClientConnection>>of(
                        () -> findFirstMatch(evictedFirst, ClientConnection::isFinished),
                        () -> findFirstMatch(evictedFirst, inactive.and(ClientConnection::isFullyIdle)),
                        () -> findFirstMatch(evictedFirst, inactive.and(ClientConnection::isIdle)),
                        () -> findFirstMatch(evictedFirst, ClientConnection::isIdle),
                        () -> findFirstMatch(idle, unreserved.and(ClientConnection::isFullyIdle)),
                        () -> findFirstMatch(idle, unreserved.and(ClientConnection::isIdle)))
                .map(Supplier::get)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    private static ClientConnection findFirstMatch(
            Set<ClientConnection> connections, Predicate<ClientConnection> condition) {
        return connections.stream().filter(condition).findFirst().orElse(null);
    }
}
