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
 * The open connections of clients, bounded in number, and the order in which they make room for new ones. Up
 * to a fixed share of them is reserved for returning clients, first come, first served: however many others
 * connect and ask, they compete for the rest only, and there each gets one request at a time.
 */
final class ClientConnectionTable {

    /** One of so many connections may be reserved. */
    private static final int RESERVED_PART = 2;
    /** What has been still for so long is not about to ask. */
    private static final int SETTLED_MS = HttpServer.QUIET_MS;

    private final Clock clock;
    private final Set<ClientConnection> open = new LinkedHashSet<>();
    /** Those that have asked for nothing yet or have had their last answer, the oldest first. */
    private final Set<ClientConnection> expendable = new LinkedHashSet<>();
    /** Those with no request in hand, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();
    /** Those that have asked again after an answer while there was a reserved place, the oldest first. */
    private final Set<ClientConnection> reserved = new LinkedHashSet<>();

    private int most;

    ClientConnectionTable(Clock clock, int most) {
        this.clock = clock;
        this.most = most;
    }

    /** From now on there may be so many; who was reserved last loses its place first. */
    void bound(int connections) {
        most = connections;
        List.copyOf(reserved).stream().skip(mostReserved()).forEach(reserved::remove);
    }

    private int mostReserved() {
        return most / RESERVED_PART;
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

    /** How many there are beyond the bound; below zero while there is room. */
    int excess() {
        return open.size() - most;
    }

    /** Adds a new connection; false if there is no room for it, and none can be made. */
    boolean add(ClientConnection connection) {
        open.add(connection);
        boolean room = makeRoom();
        expendable.add(connection);
        return room;
    }

    void remove(ClientConnection connection) {
        open.remove(connection);
        expendable.remove(connection);
        idle.remove(connection);
        reserved.remove(connection);
    }

    /** Something has been asked on a connection: it is needed. */
    void asked(ClientConnection connection) {
        expendable.remove(connection);
        if (idle.remove(connection) && reserved.size() < mostReserved()) {
            reserved.add(connection);
        }
    }

    /** All that was asked on a connection is answered; false if it is none of the open ones any more. */
    boolean answered(ClientConnection connection) {
        boolean known = open.contains(connection);
        if (known) {
            (connection.hasAsked() ? idle : expendable).add(connection);
        }
        return known;
    }

    /** Nobody waits for anything on a connection. */
    void dropped(ClientConnection connection) {
        if (open.contains(connection)) {
            expendable.add(connection);
        }
    }

    /** Whether others need the place of this connection: its next answer is to be its last. */
    boolean isWanted(ClientConnection connection) {
        return excess() > 0
                && !reserved.contains(connection)
                && excess()
                        > expendable.stream().filter(ClientConnection::isEnding).count();
    }

    /**
     * Makes room for connections beyond the bound, if there are any; first those go that have had their last
     * answer, then those that never asked for anything, and of these who has been still for a while: one that
     * has just come is about to ask. On none of them may a request have come that is not read yet, or an
     * answer be left to write. Reserved ones stay.
     */
    private boolean makeRoom() {
        while (excess() > 0) {
            ClientConnection gone = leastNeeded();
            if (gone == null) {
                return false;
            }
            remove(gone);
            gone.close();
        }
        return true;
    }

    /** Which connection goes first, the oldest of its kind; null where each is needed. */
    private ClientConnection leastNeeded() {
        double settled = clock.now() - SETTLED_MS;
        return Stream.<Supplier<ClientConnection>>of(
                        () -> first(expendable, ClientConnection::isOver),
                        () -> first(expendable, connection -> connection.isStillSince(settled) && connection.isFree()),
                        () -> first(expendable, connection -> connection.isStillSince(settled) && connection.isIdle()),
                        () -> first(expendable, ClientConnection::isIdle),
                        () -> first(idle, connection -> !reserved.contains(connection) && connection.isFree()),
                        () -> first(idle, connection -> !reserved.contains(connection) && connection.isIdle()))
                .map(Supplier::get)
                .filter(Objects::nonNull)
                .findFirst()
                .orElse(null);
    }

    private static ClientConnection first(Set<ClientConnection> of, Predicate<ClientConnection> which) {
        return of.stream().filter(which).findFirst().orElse(null);
    }
}
