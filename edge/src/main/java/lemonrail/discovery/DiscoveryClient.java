package lemonrail.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import lemonrail.core.WatchSchedule;
import lemonrail.logging.EventLog;
import lemonrail.net.Sockets;

/**
 * Watches the list of endpoints, call after call. A watch that is broken is opened anew after a pause,
 * whether lists are pushed or asked for, as one clock runs for what it misses. There is one watch at a time,
 * and one pause: who asks for a watch meanwhile ends the pause.
 */
public final class DiscoveryClient {

    private static final int MOST_BODY = 4 * 1024 * 1024;
    /** A busy loop may have read nothing for longer than a limit: at its end it gets so long to do it. */
    private static final int READ_FIRST_MS = 10;

    /** What comes of the watch. */
    public interface Listener {
        /** Called on the event loop with each list or change that has arrived. */
        void listed(EndpointList list);
    }

    private final EventLoop loop;
    private final EndpointList.Names names;
    private final WatchSchedule pace;
    private final EventLog log;
    private final Bootstrap bootstrap;
    private Listener listener;
    private InetSocketAddress address;
    /** What is known of the list at this address; none calls for the whole of it. */
    private OptionalLong version;

    private Channel channel;
    /** A call is on its way, though it may still wait for its connection. */
    private boolean calling;
    /** Ends a call that gets no connection, or no answer, or not the rest of it. */
    private Future<?> limit;
    /** When an answer that has begun must be whole, by {@link System#nanoTime}; 0 before it begins. */
    private long wholeByNs;
    /** Opens the watch anew after a failure. */
    private Future<?> retry;

    private boolean closed;

    /** A client of the discovery at this address, where the list of the known version is from. */
    public DiscoveryClient(
            EventLoop loop,
            InetSocketAddress address,
            EndpointList.Names names,
            long known,
            WatchSchedule pace,
            EventLog log) {
        this.loop = loop;
        this.address = address;
        this.names = names;
        this.version = OptionalLong.of(known);
        this.pace = pace;
        this.log = log.in("discovery");
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 0)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new Pieces(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(MOST_BODY),
                                        new Calls());
                    }
                });
    }

    /** Who hears of lists. */
    public void listen(Listener hearer) {
        listener = hearer;
    }

    /**
     * Goes on at another address, at once and without a word of failure. Versions are counted anew there,
     * so it is asked for the whole list.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        version = OptionalLong.empty();
        // How often the old address failed says nothing of the new one.
        pace.onResponse();
        callEnded();
        dropConnection();
        watch();
    }

    /** Starts a watch; one that is on goes on, and its next answer serves for both. */
    public void watch() {
        if (calling || closed) {
            return;
        }
        calling = true;
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
        if (channel != null && channel.isActive()) {
            ask();
            return;
        }
        limit("no connection in time", WatchSchedule.silenceTimeoutMs());
        ChannelFuture connecting = bootstrap.connect(address);
        channel = connecting.channel();
        connecting.addListener(connected -> {
            if (connecting.channel() != channel) {
                return;
            }
            if (connected.isSuccess()) {
                ask();
            } else {
                fail(connected.cause());
            }
        });
    }

    /** Ends the watch for good; whoever asks for one from here on gets none. */
    public void close() {
        closed = true;
        callEnded();
        dropConnection();
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
    }

    private void ask() {
        int waitMs = version.isPresent() ? pace.waitMs() : 0;
        wholeByNs = 0;
        // Counted from here: at the start the loop may be busy for long between a call's connection and it.
        limit("no answer in time", waitMs + WatchSchedule.silenceTimeoutMs());
        FullHttpRequest call = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                "/registry/instances"
                        + (version.isPresent() ? "?index=" + version.getAsLong() + "&wait=" + waitMs : ""),
                Unpooled.EMPTY_BUFFER);
        call.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(call);
    }

    private void limit(String why, int ms) {
        if (limit != null) {
            limit.cancel(false);
        }
        limit = loop.schedule(
                () -> {
                    limit = loop.schedule(() -> fail(why), READ_FIRST_MS, TimeUnit.MILLISECONDS);
                },
                ms,
                TimeUnit.MILLISECONDS);
    }

    private void fail(Object why) {
        dropConnection();
        if (callEnded()) {
            log.warnRateLimited("discovery_failed", "discovery failed", why, "address", address);
            retry = loop.schedule(this::watch, (long) (pace.onFailure() * 1e6), TimeUnit.NANOSECONDS);
        }
    }

    private void dropConnection() {
        if (channel != null) {
            Channel dropped = channel;
            channel = null;
            dropped.close();
        }
    }

    /** No call is out from here on; true if one was. */
    private boolean callEnded() {
        boolean called = calling;
        calling = false;
        if (limit != null) {
            limit.cancel(false);
            limit = null;
        }
        return called;
    }

    /** Sees that an answer comes, of which each piece must come soon, and all of it in time. */
    private final class Pieces extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object piece) {
            if (ctx.channel() == channel && limit != null) {
                long now = System.nanoTime();
                if (wholeByNs == 0) {
                    wholeByNs = now + TimeUnit.MILLISECONDS.toNanos(WatchSchedule.responseTimeoutMs());
                }
                limit("no whole answer in time", (int)
                        Math.min(WatchSchedule.silenceTimeoutMs(), TimeUnit.NANOSECONDS.toMillis(wholeByNs - now)));
            }
            ctx.fireChannelRead(piece);
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (ctx.channel() != channel || limit == null) {
                ctx.close();
                return;
            }
            if (answer.decoderResult().isFailure()) {
                fail(answer.decoderResult().cause());
                return;
            }
            if (answer.status().code() != 200) {
                fail("status " + answer.status().code());
                return;
            }
            EndpointList list;
            try {
                list = EndpointList.parse(ByteBufUtil.getBytes(answer.content()), names);
            } catch (IOException | IllegalArgumentException e) {
                fail(e.getMessage());
                return;
            }
            callEnded();
            pace.onResponse();
            boolean restarted = !list.full() && version.isPresent() && list.version() < version.getAsLong();
            // Versions are counted anew: changes since another count's version would not be all there are.
            version = restarted ? OptionalLong.empty() : OptionalLong.of(list.version());
            if (!HttpUtil.isKeepAlive(answer)) {
                channel = null;
                ctx.close();
            }
            // The next call goes out first: it must come soon after the answer for the watch to go on.
            watch();
            listener.listed(list);
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
