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
 * The HTTP server for clients: accepts connections up to a maximum, and closes them during a drain or a shutdown. Owned
 * by one event loop, on which all methods are called.
 */
final class HttpServer implements Downstream {

    /** The number of connections accepted above the maximum, so that their requests can be rejected with a response. */
    static final int OVERFLOW_CONNECTIONS = 16;
    /** During a drain, a connection that has had no pending response for this time is closed. */
    static final int DRAIN_IDLE_TIMEOUT_MS = 300;

    private static final int BACKLOG = 1024;
    /** The time that clients are given to notice that a drain has started. */
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
    /** Whether connections close after their next response. */
    private boolean closingConnections;
    /** The task that closes unused connections during a drain, or null. */
    private Future<?> drainSweep;

    private double latestDeadlineMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a server that does not listen yet.
     *
     * @param context the objects that all components on this event loop share
     * @param dispatcher receives the clients' requests
     * @param maxConnections the maximum number of open connections
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
                .childOption(ChannelOption.ALLOCATOR, Sockets.BUFFER_ALLOCATOR)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Sockets.WRITE_BUFFER_WATER_MARKS)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, Sockets.newReadBufferAllocator())
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
     * Releases the address to another process: closes the listener, and then makes connections close after their next
     * response. The order matters, because a client whose connection closes reconnects at once, and a connection that
     * is opened between the listener's last accept and its close is reset.
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
        closeConnections(ClientConnection::isUnused);
    }

    /**
     * Starts to close connections, until the drain ends. Connections that are not in use stay open until clients have
     * had time to notice the drain, because they may still send requests. Connections that are opened later stay open
     * for {@link #DRAIN_IDLE_TIMEOUT_MS} without a request.
     */
    @Override
    public void startDraining() {
        closingConnections = true;
        double noticePeriodEndMs = clock.now() + DRAIN_NOTICE_MS;
        drainSweep = loop.scheduleWithFixedDelay(
                () -> closeUnused(noticePeriodEndMs), DRAIN_NOTICE_MS, DRAIN_SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void closeUnused(double noticePeriodEndMs) {
        if (clock.now() >= noticePeriodEndMs) {
            double unusedSinceMs = clock.now() - DRAIN_IDLE_TIMEOUT_MS;
            closeConnections(connection -> connection.isUnusedSince(unusedSinceMs));
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

    /** Stops accepting connections while the maximum is exceeded by {@link #OVERFLOW_CONNECTIONS}. */
    private void updateAccepting() {
        boolean accepting = connections.excess() < OVERFLOW_CONNECTIONS;
        if (!accepting) {
            log.warnRateLimited(
                    "accept_paused",
                    "too many client connections are open; accepting no more for now",
                    connections.size() + " are open",
                    "connections",
                    connections.size());
        }
        listener.config().setAutoRead(accepting);
    }

    // ---- called by the connections ----

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

    /** Returns the latest deadline of any request, in milliseconds; infinite until a shutdown starts. */
    double latestDeadlineMs() {
        return latestDeadlineMs;
    }

    /** Returns whether a connection must close after the response that is about to be written. */
    boolean closesAfterResponse(ClientConnection connection) {
        return closingConnections || connections.mustCloseForOthers(connection);
    }

    /** Registers a new connection; returns whether the maximum number of connections is not exceeded. */
    boolean onOpened(ClientConnection connection) {
        boolean withinMaximum = connections.add(connection);
        updateAccepting();
        return withinMaximum;
    }

    /** Removes a connection that has been closed. */
    void onClosed(ClientConnection connection) {
        connections.remove(connection);
        updateAccepting();
    }

    /** Logs and counts an error response to a client whose request is invalid or did not arrive in time. */
    void logRequestError(ClientMessage.RequestError error) {
        if (error.equals(RequestReader.OUT_OF_MEMORY)) {
            metrics.onRefusedForMemory();
        }
        log.warnRateLimited(
                "client_refused",
                "a client request is rejected",
                error.status().code() + " " + error.reason(),
                "status",
                error.status().code());
    }

    /** Logs an exception on a client connection, unless it is a network error. */
    void logConnectionError(Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.error("unexpected exception on a client connection", cause);
        }
    }
}
