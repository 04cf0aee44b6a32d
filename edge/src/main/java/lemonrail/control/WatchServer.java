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
 * Serves watches to sidecars and peers. It tracks the connections and bounds their number and the bytes that
 * wait to be written: a client that reads too slowly is disconnected. Belongs to the event loop.
 */
final class WatchServer {

    /** Versions of another process are moved back by this: the longest time of replication between nodes. */
    static final long VERSION_OVERLAP_MS = 10_000;
    /** A response must be written within this time. */
    static final long WRITE_TIMEOUT_MS = 5_000;

    private static final long IDLE_TIMEOUT_MS = 65_000;
    private static final long SWEEP_INTERVAL_MS = 500;
    /** Connections beyond the watchers', for peers and for requests that are rejected. */
    private static final int EXTRA_CONNECTIONS = 64;
    /** The bound on bytes that wait to be written; beyond it the connection that waits longest is closed. */
    private static final long MAX_UNWRITTEN_BYTES = 64L << 20;

    private static final int BACKLOG = 1024;
    private static final int MAX_LINE_BYTES = 16 * 1024;
    private static final int MAX_HEAD_BYTES = 8 * 1024;
    private static final int MAX_CHUNK_BYTES = 4 * 1024;
    private static final int MAX_BODY_BYTES = 1024;

    /** The node that is served. */
    interface Node {
        /** Returns the fields that the node adds to a response. */
        WatchResponseHead responseHead(WatchRequest request);

        /** Returns whether peers are served before the node is ready, with the entries of its snapshot. */
        boolean servesPeersUntilReady();

        /** Returns whether nothing may be exchanged with a peer, as tests and experiments set it. */
        boolean isPartitioned(String peer);
    }

    private final WatchContext context;
    private final Set<WatchConnection> connections = new LinkedHashSet<>();
    /** Connections whose last response is not written completely, the one that waits longest first. */
    private final Set<WatchConnection> unwritten = new LinkedHashSet<>();
    /** Connections whose request waits for an update. */
    private final Set<WatchConnection> waiting = new LinkedHashSet<>();

    private WatchObserver observer = (watcher, digest, requestBytes, responseBytes) -> {};
    private long unwrittenBytes;
    private long responses;
    private long slowClosed;
    private long responseBytes;
    private Channel listener;
    private Future<?> sweeping;

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
        sweeping = context.loop()
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
        if (sweeping != null) {
            sweeping.cancel(false);
        }
        if (listener != null) {
            listener.close();
        }
        new ArrayList<>(connections).forEach(WatchConnection::close);
    }

    private void closeSlowAndIdle() {
        for (WatchConnection connection : new ArrayList<>(connections)) {
            if (connection.isWritingForLongerThan(WRITE_TIMEOUT_MS)) {
                closeSlow(connection, "a response was not read in time");
            } else if (connection.isIdleForLongerThan(IDLE_TIMEOUT_MS)) {
                connection.close();
            }
        }
    }

    /** Closes the connection of a client that is too slow or out of turn. */
    void closeSlow(WatchConnection connection, String reason) {
        slowClosed++;
        context.log()
                .warnRateLimited(
                        "watcher_closed",
                        "a watcher's connection was closed",
                        reason,
                        "watcher",
                        connection.watcherName());
        connection.reset();
    }

    void onOpened(WatchConnection connection) {
        connections.add(connection);
        if (connections.size() > context.maxWatchers() + EXTRA_CONNECTIONS) {
            context.log().warnRateLimited("watchers_full", "a connection was rejected", "there are too many");
            connection.close();
        }
    }

    void onClosed(WatchConnection connection) {
        connections.remove(connection);
    }

    /** Returns whether there are more connections than watchers are permitted. */
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
     * Counts the bytes of any response.
     *
     * @param bodyBytes the size of its body
     * @param totalBytes the same with an estimate for the headers
     */
    void onResponse(String watcher, int bodyBytes, int totalBytes) {
        responseBytes += bodyBytes;
        observer.onTraffic(watcher, null, 0, totalBytes);
    }

    /** Tracks a response that could not be written at once, and closes connections while there are too many. */
    void onWriteStarted(WatchConnection connection, int bodyBytes) {
        unwritten.add(connection);
        unwrittenBytes += bodyBytes;
        while (unwrittenBytes > MAX_UNWRITTEN_BYTES && !unwritten.isEmpty()) {
            closeSlow(unwritten.iterator().next(), "too many bytes wait to be written");
        }
    }

    /** Ends the tracking of a response, written or failed. */
    void onWriteEnded(WatchConnection connection, long bodyBytes) {
        if (unwritten.remove(connection)) {
            unwrittenBytes -= bodyBytes;
        }
    }
}
