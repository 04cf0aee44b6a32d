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
import lemonrail.core.balancer.Request;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;
import lemonrail.upgrade.SharedListener;

/** The listener for clients: which connections there are, which make room, and when they are let go. */
final class HttpServer implements Downstream {

    private static final int BACKLOG = 1024;
    /** So long after a drain's start the front has surely noticed. */
    private static final int NOTICE_MS = 500;
    /** What has asked for nothing for so long is let go in a drain, and how often that is seen to. */
    static final int QUIET_MS = 300;

    private static final int SWEEP_MS = 100;
    /** Connections above the bound that are still taken in, to refuse what they ask in good order. */
    static final int OVERFLOW = 16;

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final RequestDispatcher<RequestMessage, UpstreamResponse> exchange;
    private final Lifecycle lifecycle;
    private final Metrics metrics;
    private final BufferBudget budget;
    private final RequestHeadMapper heads;
    private final ClientConnectionTable connections;
    private SharedListener listener;
    /** Each answer is the last on its connection. */
    private boolean leaving;

    private Future<?> sweeping;
    private double endsAt = Double.POSITIVE_INFINITY;

    HttpServer(EventLoopContext shard, RequestDispatcher<RequestMessage, UpstreamResponse> exchange, int most) {
        loop = shard.loop();
        clock = shard.clock();
        log = shard.log().in("http1");
        lifecycle = shard.lifecycle();
        metrics = shard.metrics();
        budget = shard.bufferBudget();
        this.exchange = exchange;
        connections = new ClientConnectionTable(clock, most);
        heads = new RequestHeadMapper(shard.settings(), exchange::settings);
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
    public void setMaxConnections(int connections) {
        this.connections.bound(connections);
    }

    @Override
    public void capDeadlines(double leftMs) {
        endsAt = clock.now() + leftMs;
    }

    @Override
    public void closeListener() {
        if (listener != null) {
            listener.acceptPendingAndClose();
        }
    }

    /**
     * Leaves the address to another process: closes the listener, and then makes each answer the last on its
     * connection. In this order, since who gets a last answer connects again at once, and what connects in
     * the instant between the listener's last look and its close is reset.
     */
    @Override
    public void releaseAddress() {
        if (listener != null) {
            listener.acceptPendingAndClose();
            listener.closeFuture().addListener(closed -> leaving = true);
        }
    }

    @Override
    public void closeAfterResponses() {
        leaving = true;
        letGo(connection -> connection.isQuiet() && !connection.hasUnread());
    }

    /**
     * Empties the connections for as long as the drain lasts. Those with nothing asked on them stay until the
     * front has noticed, as it still hands out requests; later ones get as long.
     */
    @Override
    public void startDraining() {
        leaving = true;
        double noticed = clock.now() + NOTICE_MS;
        sweeping = loop.scheduleWithFixedDelay(
                () -> {
                    if (clock.now() >= noticed) {
                        double quietSince = clock.now() - QUIET_MS;
                        letGo(connection -> connection.isQuietSince(quietSince));
                    }
                },
                NOTICE_MS,
                SWEEP_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stopDraining() {
        leaving = false;
        if (sweeping != null) {
            sweeping.cancel(false);
            sweeping = null;
        }
    }

    private void letGo(Predicate<ClientConnection> which) {
        connections.all().stream().filter(which).forEach(ClientConnection::close);
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

    private void updateAccepting() {
        boolean room = connections.excess() < OVERFLOW;
        if (!room) {
            log.trouble(
                    "accept_paused",
                    "no more connections are taken in",
                    connections.size() + " are open",
                    "connections",
                    connections.size());
        }
        listener.config().setAutoRead(room);
    }

    // ---- what connections need ----

    Lifecycle lifecycle() {
        return lifecycle;
    }

    Clock clock() {
        return clock;
    }

    Metrics metrics() {
        return metrics;
    }

    BufferBudget budget() {
        return budget;
    }

    RequestDispatcher<RequestMessage, UpstreamResponse> exchange() {
        return exchange;
    }

    RequestHeadMapper heads() {
        return heads;
    }

    /** Whether the answer that is due on a connection is to be its last. */
    boolean letsGo(ClientConnection connection) {
        return leaving || connections.isWanted(connection);
    }

    /** What a request asks for that came no earlier than this: its client waits from when it was sent. */
    Request request(RequestHeadMapper.Told told, double arrivedAt) {
        return new Request(
                told.id(),
                told.requestClass(),
                told.tenant(),
                Math.min(arrivedAt + told.waitMs(), endsAt),
                told.resent());
    }

    /** A connection is there; false if there is no room for it. */
    boolean opened(ClientConnection connection) {
        boolean room = connections.add(connection);
        updateAccepting();
        return room;
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        updateAccepting();
    }

    /** Which connections there are, and which of them make room for others. */
    ClientConnectionTable connections() {
        return connections;
    }

    /** A client has sent what is no request, or not in time. */
    void refused(RequestReader.Refusal refusal) {
        log.trouble(
                "client_refused",
                "a client is refused",
                refusal.status().code() + " " + refusal.why(),
                "status",
                refusal.status().code());
    }

    /** Clients come and go; only what is not the network's doing is worth a line. */
    void troubled(Throwable cause) {
        if (!(cause instanceof IOException)) {
            log.bug("connection of a client", cause);
        }
    }
}
