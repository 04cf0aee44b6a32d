package lemonrail.http1;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;
import lemonrail.upgrade.SharedListener;

/**
 * The listener for clients and their connections: accepts them up to a bound, and closes them in a drain or a
 * shutdown. Owned by one event loop, on which all methods are called.
 */
final class HttpServer implements Downstream {

    /** Connections above the bound that are still accepted, so that their requests get a response. */
    static final int OVERFLOW_CONNECTIONS = 16;
    /** A connection without requests for this time closes in a drain. */
    static final int QUIET_MS = 300;

    private static final int BACKLOG = 1024;
    /** How long clients take to notice that a drain has begun. */
    private static final int DRAIN_NOTICE_MS = 500;

    private static final int DRAIN_SWEEP_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher;
    private final Metrics metrics;
    private final BufferBudget budget;
    private final ClientRequestRouter router;
    private final ClientConnectionTable connections;
    private SharedListener listener;
    /** Whether each response is the last on its connection. */
    private boolean closingConnections;
    /** Closes quiet connections while a drain lasts, else null. */
    private Future<?> drainSweep;

    private double latestDeadlineMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a server that does not listen yet.
     *
     * @param context what the parts on this event loop share
     * @param dispatcher takes in the clients' requests
     * @param maxConnections how many connections may be open at once
     */
    HttpServer(
            EventLoopContext context,
            RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher,
            int maxConnections) {
        loop = context.loop();
        clock = context.clock();
        log = context.log().forComponent("http1");
        metrics = context.metrics();
        budget = context.bufferBudget();
        this.dispatcher = dispatcher;
        connections = new ClientConnectionTable(clock, maxConnections);
        RequestHeadMapper headMapper = new RequestHeadMapper(context.settings(), dispatcher::settings);
        router = new ClientRequestRouter(dispatcher, headMapper, context.lifecycle());
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(SharedListener.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(SharedListener.REUSE_PORT, true)
                .childOption(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Sockets.WRITE_MARKS)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readSizes())
                .childHandler(new ChannelInitializer<AcceptedSocket>() {
                    @Override
                    protected void initChannel(AcceptedSocket accepted) {
                        new ClientConnection(HttpServer.this, accepted).addTo(accepted.pipeline());
                    }
                })
                .bind(address);
        listener = (SharedListener) bound.channel();
        return bound;
    }

    @Override
    public void setMaxConnections(int maxConnections) {
        connections.setMaxConnections(maxConnections);
    }

    @Override
    public void capDeadlines(double remainingMs) {
        latestDeadlineMs = clock.now() + remainingMs;
    }

    @Override
    public void closeListener() {
        if (listener != null) {
            listener.acceptPendingAndClose();
        }
    }

    /**
     * Leaves the address to another process: closes the listener, and then makes each response the last on its
     * connection. In this order, since a client that gets its last response reconnects at once, and a connect
     * between the listener's last accept and its close would be reset.
     */
    @Override
    public void releaseAddress() {
        if (listener != null) {
            listener.acceptPendingAndClose();
            listener.closeFuture().addListener(closed -> closingConnections = true);
        }
    }

    @Override
    public void closeAfterResponses() {
        closingConnections = true;
        closeConnections(connection -> connection.isQuiet() && !connection.hasUnread());
    }

    /**
     * Closes connections for as long as the drain lasts. Those without requests stay until clients have noticed
     * the drain, as they may still send some; later ones get as long.
     */
    @Override
    public void startDraining() {
        closingConnections = true;
        double noticedMs = clock.now() + DRAIN_NOTICE_MS;
        drainSweep = loop.scheduleWithFixedDelay(
                () -> closeQuiet(noticedMs), DRAIN_NOTICE_MS, DRAIN_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void closeQuiet(double noticedMs) {
        if (clock.now() >= noticedMs) {
            double quietSinceMs = clock.now() - QUIET_MS;
            closeConnections(connection -> connection.isQuietSince(quietSinceMs));
        }
    }

    @Override
    public void stopDraining() {
        closingConnections = false;
        if (drainSweep != null) {
            drainSweep.cancel(false);
            drainSweep = null;
        }
    }

    private void closeConnections(Predicate<ClientConnection> condition) {
        connections.all().stream().filter(condition).forEach(ClientConnection::close);
    }

    @Override
    public void close() {
        closeListener();
        closeAfterResponses();
    }

    @Override
    public boolean hasNoConnections() {
        return connections.isEmpty();
    }

    /** Pauses the listener while the bound is exceeded by {@link #OVERFLOW_CONNECTIONS} connections. */
    private void updateAccepting() {
        boolean accepting = connections.excess() < OVERFLOW_CONNECTIONS;
        if (!accepting) {
            log.warnRateLimited(
                    "accept_paused",
                    "no more connections are accepted",
                    connections.size() + " are open",
                    "connections",
                    connections.size());
        }
        listener.config().setAutoRead(accepting);
    }

    // ---- for the connections ----

    Clock clock() {
        return clock;
    }

    Metrics metrics() {
        return metrics;
    }

    BufferBudget budget() {
        return budget;
    }

    RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher() {
        return dispatcher;
    }

    ClientRequestRouter router() {
        return router;
    }

    ClientConnectionTable connections() {
        return connections;
    }

    /** Returns when requests must be over, whatever their clients allow; infinite until a shutdown begins. */
    double latestDeadlineMs() {
        return latestDeadlineMs;
    }

    /** Returns whether a connection closes after the response that is about to be written on it. */
    boolean closesAfterResponse(ClientConnection connection) {
        return closingConnections || connections.isNeededByOthers(connection);
    }

    /** Registers a connection, and returns whether it is within the bound. */
    boolean onOpened(ClientConnection connection) {
        boolean withinBound = connections.add(connection);
        updateAccepting();
        return withinBound;
    }

    /** Removes a connection that has closed. */
    void onClosed(ClientConnection connection) {
        connections.remove(connection);
        updateAccepting();
    }

    /** Logs that a client has sent what cannot be served, or not in time. */
    void logRequestError(ClientMessage.RequestError error) {
        log.warnRateLimited(
                "client_refused",
                "a client is refused",
                error.status().code() + " " + error.reason(),
                "status",
                error.status().code());
    }

    /** Logs an error on a client's connection, unless it comes from the network. */
    void logConnectionError(Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.error("connection of a client", cause);
        }
    }
}
