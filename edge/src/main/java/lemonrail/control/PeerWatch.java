package lemonrail.control;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import lemonrail.config.ControlConfig.Peer;
import lemonrail.logging.EventLog;
import lemonrail.net.Sockets;
import lemonrail.time.Clock;

/** Watches another node, call after call, by the platform's protocol. */
final class PeerWatch {

    /** How long a call waits for news, and how much more is silence. */
    private static final int WAIT_MS = 1_000;
    private static final int SILENCE_MS = 1_000;
    private static final int CONNECT_MS = 1_000;
    /** The pause after a failure, with its spread. */
    private static final int LEAST_PAUSE_MS = 100;
    private static final int MOST_PAUSE_MS = 400;
    private static final int MOST_BODY = 32 * 1024 * 1024;

    /** Who hears of the answers. */
    interface Listener {
        /** Takes an answer in; an exception fails the watch, which then asks for everything. */
        void heard(PeerWatch from, Map<?, ?> answer);
    }

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final String own;
    private final Peer peer;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private Channel channel;
    private Future<?> timer;
    private boolean stopped = true;
    private String boot = "";
    private long version = -1;
    private double heardAt;
    private boolean everHeard;
    /** What the other node last said of its watchers, or null. */
    private Object watching;

    PeerWatch(EventLoop loop, Clock clock, EventLog log, String own, Peer peer, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.own = own;
        this.peer = peer;
        this.listener = listener;
        heardAt = clock.now();
        bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
            .handler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel fresh) {
                    fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MOST_BODY),
                        new Answered());
                }
            });
    }

    Peer peer() {
        return peer;
    }

    /** Since this node was last heard, or since the start where it never was. */
    double ageMs() {
        return clock.now() - heardAt;
    }

    boolean wasHeard() {
        return everHeard;
    }

    Object watching() {
        return watching;
    }

    void start() {
        if (stopped) {
            stopped = false;
            connect();
        }
    }

    void stop() {
        stopped = true;
        cancel();
        drop();
    }

    private void connect() {
        ChannelFuture connecting = bootstrap.connect(peer.address());
        channel = connecting.channel();
        connecting.addListener(connected -> {
            if (connecting.channel() != channel) {
                connecting.channel().close();
            } else if (connected.isSuccess()) {
                ask();
            } else {
                fail(connected.cause());
            }
        });
    }

    private void ask() {
        cancel();
        timer = loop.schedule(() -> fail("no answer in time"), WAIT_MS + SILENCE_MS, TimeUnit.MILLISECONDS);
        FullHttpRequest call = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            "/registry/instances?peer=" + own + (version < 0 ? "" : "&index=" + version + "&wait=" + WAIT_MS
                + "&from=" + boot), Unpooled.EMPTY_BUFFER);
        call.headers().set(HttpHeaderNames.HOST, peer.name());
        channel.writeAndFlush(call);
    }

    private void fail(Object why) {
        cancel();
        drop();
        if (stopped) {
            return;
        }
        log.trouble("peer_failed", "node " + peer.name() + " is not heard", why, "node", peer.name());
        timer = loop.schedule(() -> {
            timer = null;
            connect();
        }, ThreadLocalRandom.current().nextLong(LEAST_PAUSE_MS, MOST_PAUSE_MS), TimeUnit.MILLISECONDS);
    }

    private void cancel() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
        }
    }

    private void drop() {
        if (channel != null) {
            Channel dropped = channel;
            channel = null;
            dropped.close();
        }
    }

    private void take(Map<?, ?> answer) {
        if (!(answer.get("version") instanceof Double told) || !(answer.get("node") instanceof String node)) {
            throw new IllegalArgumentException("it is no control node");
        }
        listener.heard(this, answer);
        boot = node;
        version = told.longValue();
        heardAt = clock.now();
        everHeard = true;
        watching = answer.get("watching");
    }

    private final class Answered extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel) {
                ctx.close();
                return;
            }
            if (answer.decoderResult().isFailure() || answer.status().code() != 200) {
                fail("status " + answer.status().code());
                return;
            }
            try {
                take(ItemText.object(ByteBufUtil.getBytes(answer.content())));
            } catch (IllegalArgumentException e) {
                // What was skipped must come again: the next call asks for everything.
                version = -1;
                fail(e.getMessage());
                return;
            }
            ask();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == channel) {
                fail("the connection ended");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (ctx.channel() == channel) {
                fail(cause);
            }
            ctx.close();
        }
    }
}
