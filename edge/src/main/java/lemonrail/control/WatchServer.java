package lemonrail.control;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.net.HttpListener;
import lemonrail.net.Sockets;

/**
 * Serves watches to sidecars and peers. It limits the number of connections and the total size of unwritten
 * responses; a client that reads too slowly is disconnected. Belongs to the event loop.
 */
final class WatchServer {

    /** How far a version that another process issued is moved back: the longest replication time between nodes. */
    static final long VERSION_OVERLAP_MS = 10_000;
    /** The time limit for the write of a response. */
    static final long WRITE_TIMEOUT_MS = 5_000;

    private static final long IDLE_TIMEOUT_MS = 65_000;
    private static final long SWEEP_INTERVAL_MS = 500;
    /** Connections allowed beyond the maximum of watchers, for peers and for clients whose requests get a rejection. */
    private static final int EXTRA_CONNECTIONS = 64;
    /** The limit on the total size of unwritten responses; above it the connection with the oldest write is closed. */
    private static final long MAX_UNWRITTEN_BYTES = 64L << 20;

    private static final int BACKLOG = 1024;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_CHUNK_BYTES = 4 * 1024;
    private static final int MAX_BODY_BYTES = 1024;

    /** The control node for which this server answers. */
    interface Node {
        /** Returns the fields about the node that start the response to a request. */
        WatchResponseHead responseHead(WatchRequest request);

        /** Returns whether peers get the entries of the node's snapshot before the node is ready. */
        boolean servesPeersUntilReady();

        /** Returns whether all traffic with a peer is stopped; only tests and experiments stop it. */
        boolean isPartitioned(String peer);
    }

    private final WatchContext context;
    private final Set<WatchConnection> connections = new LinkedHashSet<>();
    /** Connections with a pending write of a response, oldest write first. */
    private final Set<WatchConnection> unwritten = new LinkedHashSet<>();
    /** Connections whose request waits for an update. */
    private final Set<WatchConnection> waiting = new LinkedHashSet<>();

    private WatchObserver observer = (watcher, digest, requestBytes, responseBytes) -> {};
    private long unwrittenBytes;
    private long responses;
    private long slowClosed;
    private long responseBytes;
    private Channel listener;
    private Future<?> sweepTask;

    WatchServer(WatchContext context) {
        this.context = context;
    }

    ChannelFuture listen(InetSocketAddress address) {
        HttpListener http = new HttpListener(BACKLOG, MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES, MAX_BODY_BYTES);
        ChannelFuture bound = http.bind(
                context.loop(),
                Sockets.BUFFER_ALLOCATOR,
                address,
                accepted -> new WatchConnection(this, context, accepted));
        listener = bound.channel();
        sweepTask = context.loop()
                .scheduleWithFixedDelay(
                        this::closeSlowAndIdle, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    WatchCounters counters() {
        return new WatchCounters(
                connections.size(),
                waiting.size(),
                responses,
                responseBytes,
                slowClosed,
                context.responses().encodedBodies());
    }

    void setObserver(WatchObserver newObserver) {
        observer = newObserver;
    }

    /** Notifies the waiting requests that entries of these topics have arrived. */
    void onTopicsChanged(Set<String> topics) {
        new ArrayList<>(waiting).forEach(connection -> connection.onTopicsChanged(topics));
    }

    /** Closes all connections of a peer. */
    void closePeerConnections(String peer) {
        new ArrayList<>(connections)
                .stream().filter(connection -> connection.peer().equals(peer)).forEach(WatchConnection::close);
    }

    void close() {
        if (sweepTask != null) {
            sweepTask.cancel(false);
        }
        if (listener != null) {
            listener.close();
        }
        new ArrayList<>(connections).forEach(WatchConnection::close);
    }

    private void closeSlowAndIdle() {
        for (WatchConnection connection : new ArrayList<>(connections)) {
            if (connection.isWritingForLongerThan(WRITE_TIMEOUT_MS)) {
                closeSlow(connection, "client did not read a response within the write timeout");
            } else if (connection.isIdleForLongerThan(IDLE_TIMEOUT_MS)) {
                connection.close();
            }
        }
    }

    /** Closes the connection of a client that reads too slowly or sends a request too early, and counts that. */
    void closeSlow(WatchConnection connection, String reason) {
        slowClosed++;
        context.log()
                .warnRateLimited(
                        "watcher_closed", "closed a watch connection", reason, "watcher", connection.watcherName());
        connection.reset();
    }

    void onOpened(WatchConnection connection) {
        connections.add(connection);
        if (connections.size() > context.maxWatchers() + EXTRA_CONNECTIONS) {
            context.log().warnRateLimited("watchers_full", "rejected a watch connection", "connection limit reached");
            connection.close();
        }
    }

    void onClosed(WatchConnection connection) {
        connections.remove(connection);
    }

    /** Returns whether there are more connections than the maximum of watchers. */
    boolean isFull() {
        return connections.size() > context.maxWatchers();
    }

    void onWaiting(WatchConnection connection) {
        waiting.add(connection);
    }

    void onWaitingEnded(WatchConnection connection) {
        waiting.remove(connection);
    }

    void onRequest(String watcher, Long digest, int requestBytes) {
        observer.onTraffic(watcher, digest, requestBytes, 0);
    }

    /** Counts a successful response. */
    void onSuccess() {
        responses++;
    }

    /**
     * Counts the bytes of a response, whether successful or not.
     *
     * @param bodyBytes the size of the body
     * @param totalBytes the size of the response, with an estimate for the headers
     */
    void onResponse(String watcher, int bodyBytes, int totalBytes) {
        responseBytes += bodyBytes;
        observer.onTraffic(watcher, null, 0, totalBytes);
    }

    /**
     * Tracks a response whose write is pending, and closes the connections with the oldest writes while the
     * unwritten responses exceed their limit.
     */
    void onWriteStarted(WatchConnection connection, int bodyBytes) {
        unwritten.add(connection);
        unwrittenBytes += bodyBytes;
        while (unwrittenBytes > MAX_UNWRITTEN_BYTES && !unwritten.isEmpty()) {
            closeSlow(unwritten.iterator().next(), "unwritten responses exceed the size limit");
        }
    }

    /** Ends the tracking of a response whose write has completed or failed. */
    void onWriteEnded(WatchConnection connection, long bodyBytes) {
        if (unwritten.remove(connection)) {
            unwrittenBytes -= bodyBytes;
        }
    }
}
