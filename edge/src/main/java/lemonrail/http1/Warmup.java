package lemonrail.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.policy.BoxcarLoadBalancer;
import lemonrail.discovery.EndpointList;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.TextSink;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;

/**
 * Runs made-up requests through a second set of the sidecar's parts, on its own address, so that the code
 * is loaded and compiled before clients come: each way on which a request may go, one after the other.
 * Nothing of it reaches an endpoint or outlives it. Its clients and endpoints write bytes as they are: what
 * they would need of a codec is not what the sidecar needs.
 */
final class Warmup {

    /**
     * The rounds: what is common in service comes more often than what is rare, and what takes its endpoint
     * out of use comes last, as with none left the rest would only be refused.
     */
    private static final List<WarmUpRequest> ROUNDS = List.of(
            WarmUpRequest.PLAIN,
            WarmUpRequest.CHUNKS,
            WarmUpRequest.PLAIN,
            WarmUpRequest.CUT,
            WarmUpRequest.PIECES,
            WarmUpRequest.RESET,
            WarmUpRequest.PLAIN,
            WarmUpRequest.MALFORMED,
            WarmUpRequest.PLAIN,
            WarmUpRequest.FULL,
            WarmUpRequest.PLAIN,
            WarmUpRequest.LEFT,
            WarmUpRequest.PLAIN,
            WarmUpRequest.TO_THE_END,
            WarmUpRequest.FAILED,
            WarmUpRequest.SILENT);
    /** A busy machine must not keep a sidecar from starting. */
    private static final int MOST_MS = 3000;

    private static final int DEADLINE_MS = 1000;
    /** How long a client waits for an endpoint that never answers. */
    private static final int SHORT_DEADLINE_MS = 5;

    private static final int ENDPOINTS = 4;
    /** The list of endpoints changes before this round. */
    private static final int CHANGE_BEFORE = 1;

    private static final int ROUNDS_A_CONNECTION = 2;
    private static final int MOST_CONNECTIONS = 64;
    private static final int BODY_BYTES = 128;
    /** A made-up request's query is its round's number and name, between these. */
    private static final String PATH = "/api?";

    private static final char IS = '=';
    private static final String SERVED = "HTTP/1.1 200";
    private static final String STATUS = "HTTP/1.1 ";

    private final EventLoop loop;
    private final EventLoopContext shard;
    private final InetAddress host;
    private final Path scratch;
    private final Runnable done;
    private final List<Channel> endpoints = new ArrayList<>();
    /** The rounds of which an attempt has come to an endpoint. */
    private final Set<String> attempted = new HashSet<>();

    private UpstreamConnectionPool pool;
    private HttpServer frontend;
    private RequestDispatcher<RequestMessage, UpstreamResponse> exchange;
    private InetSocketAddress sidecar;
    /** The client's connection, on which a round may be asked. */
    private Channel client;

    private int rounds;
    /** A round is asked and not answered yet. */
    private boolean asked;

    private boolean over;

    Warmup(EventLoopContext shard, InetAddress host, Path scratch, Runnable done) {
        loop = shard.loop();
        this.shard = shard;
        this.host = host;
        this.scratch = scratch;
        this.done = done;
    }

    void start() {
        loop.schedule(this::end, MOST_MS, TimeUnit.MILLISECONDS);
        startEndpoint();
    }

    private void startEndpoint() {
        ChannelFuture bound = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(handling(StubEndpoint::new))
                .bind(ephemeral());
        endpoints.add(bound.channel());
        bound.addListener(up -> {
            if (!up.isSuccess() || over) {
                end();
            } else if (endpoints.size() < ENDPOINTS) {
                startEndpoint();
            } else {
                startSidecar();
            }
        });
    }

    private InetSocketAddress ephemeral() {
        return new InetSocketAddress(host, 0);
    }

    private void startSidecar() {
        Clock clock = new Clock();
        EventLog silent = new EventLog(clock, new TextSink(new PrintStream(OutputStream.nullOutputStream())));
        Metrics metrics = new Metrics(
                shard.settings().classes().stream().map(RequestClass::name).toList());
        EventLoopContext own = new EventLoopContext(
                loop,
                clock,
                silent,
                metrics,
                new BufferBudget(Long.MAX_VALUE),
                new Lifecycle(() -> true),
                shard.settings(),
                shard.idleCloseMs());
        pool = new UpstreamConnectionPool(own, MOST_CONNECTIONS);
        exchange = new RequestDispatcher<>(
                own,
                pool,
                new SuspendedEndpoints(scratch, silent),
                BoxcarLoadBalancer::new,
                0,
                list(EndpointUpdateKind.SNAPSHOT, EndpointState.READY),
                () -> {});
        frontend = new HttpServer(own, exchange, MOST_CONNECTIONS);
        ChannelFuture bound = frontend.listen(ephemeral());
        bound.addListener(up -> {
            sidecar = (InetSocketAddress) bound.channel().localAddress();
            if (up.isSuccess()) {
                next();
            } else {
                end();
            }
        });
    }

    /** All endpoints, the last one in this state. */
    private EndpointList list(EndpointUpdateKind kind, EndpointState last) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (int i = 0; i < endpoints.size(); i++) {
            EndpointState state = i == endpoints.size() - 1 ? last : EndpointState.READY;
            entries.add(new EndpointList.Entry(
                    new Endpoint("warm-up-" + i, shard.settings().zone(), 0, 0, 0, state, 1),
                    (InetSocketAddress) endpoints.get(i).localAddress()));
        }
        return new EndpointList(0, kind == EndpointUpdateKind.SNAPSHOT, entries);
    }

    private WarmUpRequest round() {
        return ROUNDS.get(rounds);
    }

    private void next() {
        if (over) {
            return;
        }
        if (rounds == ROUNDS.size()) {
            end();
            return;
        }
        if (rounds == CHANGE_BEFORE) {
            exchange.onEndpointList(list(EndpointUpdateKind.DELTA, EndpointState.DRAINING));
            exchange.onEndpointList(list(EndpointUpdateKind.DELTA, EndpointState.READY));
        }
        if (client == null || !client.isActive()) {
            connect();
        } else {
            ask();
        }
    }

    private void connect() {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(handling(Client::new))
                .connect(sidecar);
        client = connecting.channel();
        connecting.addListener(up -> {
            if (up.isSuccess()) {
                ask();
            } else {
                end();
            }
        });
    }

    private void ask() {
        Channel connection = client;
        String request = request();
        asked = true;
        switch (round()) {
            case PIECES -> {
                int half = request.length() / 2;
                WarmUpRequest.write(connection, request.substring(0, half));
                loop.execute(() -> WarmUpRequest.write(connection, request.substring(half)));
            }
            case MALFORMED -> WarmUpRequest.write(connection, "warm-up\r\n\r\n");
            default -> WarmUpRequest.write(connection, request);
        }
    }

    private String request() {
        List<RequestClass> classes = shard.settings().classes();
        RequestClass kind = classes.get(rounds % classes.size());
        boolean safe = kind.idempotency() == Idempotency.IDEMPOTENT;
        int deadlineMs = round() == WarmUpRequest.SILENT ? SHORT_DEADLINE_MS : DEADLINE_MS;
        String head = (safe ? "GET" : "POST") + " " + PATH + rounds + IS + round() + " HTTP/1.1\r\n"
                + "Host: warm-up\r\nX-Request-Id: warm-up-" + rounds + "\r\n"
                + "X-Class: " + bytes(kind.name()) + "\r\n"
                + RequestHeadMapper.DEADLINE + ": " + deadlineMs + "\r\n"
                + (shard.settings().tenants().isEmpty()
                        ? ""
                        : "X-Tenant: " + bytes(shard.settings().tenants().get(0).name()) + "\r\n")
                + (kind.idempotency() == Idempotency.KEYED ? "Idempotency-Key: warm-up-" + rounds + "\r\n" : "");
        return safe ? head + "\r\n" : head + "Content-Length: " + BODY_BYTES + "\r\n\r\n" + "-".repeat(BODY_BYTES);
    }

    /** A name as its bytes, a character each. */
    private static String bytes(String name) {
        return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** The round in hand is over, if there is one. */
    private void answered() {
        if (!asked) {
            return;
        }
        asked = false;
        rounds++;
        if (rounds % ROUNDS_A_CONNECTION == 0) {
            client.close();
        }
        loop.execute(this::next);
    }

    private void end() {
        if (over) {
            return;
        }
        over = true;
        endpoints.forEach(Channel::close);
        if (client != null) {
            client.close();
        }
        if (frontend != null) {
            frontend.close();
            pool.close();
        }
        done.run();
    }

    private static ChannelInitializer<SocketChannel> handling(Supplier<SimpleChannelInboundHandler<ByteBuf>> handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel fresh) {
                fresh.pipeline().addLast(handler.get());
            }
        };
    }

    /** Answers each request as its round wants it; made-up requests come whole, as they are small. */
    private final class StubEndpoint extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf request) {
            String text = request.toString(StandardCharsets.ISO_8859_1);
            int number = text.indexOf(PATH) + PATH.length();
            int name = text.indexOf(IS, number) + 1;
            if (number < PATH.length() || name == 0) {
                ctx.close();
                return;
            }
            WarmUpRequest round = WarmUpRequest.valueOf(text.substring(name, text.indexOf(' ', name)));
            round.answer(ctx.channel(), attempted.add(text.substring(number, name)));
            if (round == WarmUpRequest.LEFT) {
                client.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Goes on with the next round once this one is answered, by an endpoint or by the sidecar itself. */
    private final class Client extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf part) {
            String text = part.toString(StandardCharsets.ISO_8859_1);
            boolean failed = text.startsWith(STATUS) && !text.startsWith(SERVED);
            if (ctx.channel() == client && (failed || text.indexOf(WarmUpRequest.LAST) >= 0)) {
                answered();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == client) {
                answered();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
