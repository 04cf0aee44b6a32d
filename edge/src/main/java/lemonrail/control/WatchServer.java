package lemonrail.control;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.core.replication.AppliedVersions;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.logging.EventLog;
import lemonrail.net.HttpListener;
import lemonrail.net.Sockets;
import lemonrail.time.Clock;

/**
 * Serves watches: one call in hand on a connection, answered at once where there is news, and else when there
 * is or its wait is over. What a watcher doesn't take in time ends its connection, so that it holds up
 * nobody and no memory.
 */
final class WatchServer {

    /** Versions of another boot are moved back by this: news takes that long from node to node at most. */
    static final long OVERLAP_MS = 10_000;
    /** An answer must be taken within this time, and a connection without a call for longer is closed. */
    static final long TAKEN_MS = 5_000;

    private static final long IDLE_MS = 65_000;
    private static final long SWEEP_MS = 500;
    /** Connections beyond the watchers' for other nodes and calls that are turned away. */
    private static final int SPARE_CONNECTIONS = 64;
    /** Answers that connections have not taken yet, in bytes; beyond it the longest at it is closed. */
    private static final long MOST_UNTAKEN_BYTES = 64L << 20;

    private static final int BACKLOG = 1024;
    private static final int MOST_LINE_BYTES = 16 * 1024;
    private static final int MOST_HEAD_BYTES = 8 * 1024;
    private static final int MOST_CHUNK_BYTES = 4 * 1024;
    private static final int MOST_BODY_BYTES = 1024;

    /** What the node adds to each answer, and who may not be answered. */
    interface Node {
        /** The fields that tell which node answers and how old its knowledge is. */
        Map<String, Object> head(WatchRequest call);

        /** Whether other nodes may be told what was kept, though sidecars are not yet. */
        boolean tellsPeers();

        /** Whether nothing passes between this node and another: tests and trials cut them apart. */
        boolean isCut(String peer);
    }

    private final WatchContext shared;
    private final Set<WatchConnection> connections = new LinkedHashSet<>();
    /** Connections whose last answer has not gone to the system whole, the longest at it first. */
    private final Set<WatchConnection> untaken = new LinkedHashSet<>();

    private final Set<WatchConnection> waiting = new LinkedHashSet<>();
    private WatchObserver observer = (name, digest, calledBytes, answeredBytes) -> {};
    private long untakenBytes;
    private long answered;
    private long slowClosed;
    private long bytes;
    private Channel listener;
    private Future<?> sweeping;

    WatchServer(
            EventLoop loop,
            Clock clock,
            EventLog log,
            ReplicatedStore state,
            AppliedVersions inForce,
            Node node,
            String boot,
            int mostWatchers,
            double gapMs) {
        shared = new WatchContext(
                loop, clock, log, state, inForce, node, boot, mostWatchers, gapMs, new WatchResponseCache(state));
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new HttpListener(
                        BACKLOG, MOST_LINE_BYTES, MOST_HEAD_BYTES, MOST_CHUNK_BYTES, MOST_BODY_BYTES)
                .bind(shared.loop(), Sockets.BUFFERS, address, accepted -> new WatchConnection(this, shared, accepted));
        listener = bound.channel();
        sweeping = shared.loop().scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Connections that are open, calls that wait, answers given, their bytes, connections closed as slow. */
    List<Long> figures() {
        return List.of(
                (long) connections.size(),
                (long) waiting.size(),
                answered,
                bytes,
                slowClosed,
                shared.answers().made());
    }

    void observe(WatchObserver seeing) {
        observer = seeing;
    }

    /** Something has arrived in these topics. */
    void changed(Set<String> topics) {
        new ArrayList<>(waiting).forEach(connection -> connection.changed(topics));
    }

    /** Closes all connections with another node. */
    void cut(String peer) {
        new ArrayList<>(connections)
                .stream().filter(connection -> connection.peer().equals(peer)).forEach(WatchConnection::close);
    }

    void close() {
        if (sweeping != null) {
            sweeping.cancel(false);
        }
        if (listener != null) {
            listener.close();
        }
        new ArrayList<>(connections).forEach(WatchConnection::close);
    }

    private void sweep() {
        for (WatchConnection connection : new ArrayList<>(connections)) {
            if (connection.isUntakenFor(TAKEN_MS)) {
                closeSlow(connection, "an answer was not taken in time");
            } else if (connection.isIdleFor(IDLE_MS)) {
                connection.close();
            }
        }
    }

    /** Closes a connection that holds things up. */
    void closeSlow(WatchConnection connection, String why) {
        slowClosed++;
        shared.log()
                .warnRateLimited(
                        "watcher_closed", "a watcher's connection was closed", why, "watcher", connection.name());
        connection.reset();
    }

    // ---- what connections tell ----

    void opened(WatchConnection connection) {
        connections.add(connection);
        if (connections.size() > shared.mostWatchers() + SPARE_CONNECTIONS) {
            shared.log().warnRateLimited("watchers_full", "a connection was turned away", "there are too many");
            connection.close();
        }
    }

    void closed(WatchConnection connection) {
        connections.remove(connection);
    }

    /** Whether there are more connections than are kept for watchers. */
    boolean isFull() {
        return connections.size() > shared.mostWatchers();
    }

    /** A call waits for news. */
    void waits(WatchConnection connection) {
        waiting.add(connection);
    }

    void waitsNoMore(WatchConnection connection) {
        waiting.remove(connection);
    }

    /** A watcher has called, or was answered. */
    void passed(String name, Long digest, int calledBytes, int answeredBytes) {
        observer.passed(name, digest, calledBytes, answeredBytes);
    }

    void answered() {
        answered++;
    }

    void written(int size) {
        bytes += size;
    }

    /** An answer has not gone to the system whole; where too much waits so, the longest at it is closed. */
    void untaken(WatchConnection connection, int size) {
        untaken.add(connection);
        untakenBytes += size;
        while (untakenBytes > MOST_UNTAKEN_BYTES && !untaken.isEmpty()) {
            closeSlow(untaken.iterator().next(), "too much waits to be taken");
        }
    }

    /** Nothing of an answer of this size waits any more. */
    void taken(WatchConnection connection, long size) {
        if (untaken.remove(connection)) {
            untakenBytes -= size;
        }
    }
}
