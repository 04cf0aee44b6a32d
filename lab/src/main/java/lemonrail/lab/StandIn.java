package lemonrail.lab;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint on loopback: it takes a while over each request, turns requests away where too many wait, and
 * can fall silent. Its work is a wait, so that many of them fit one machine.
 */
final class StandIn {

    /** What it does with requests: serves them, answers none, or answers each with an error. */
    enum Trouble { NONE, SILENT, FAILING }

    private static final int MOST_BODY_BYTES = 64 * 1024;
    /** Requests in work at once; more are turned away unseen. */
    private static final int SLOTS = 16;
    private static final double LEAST_MS = 5;
    private static final double MEAN_MORE_MS = 20;

    private final String name;
    private final Repeats repeats;
    private final Channel listener;
    private final SplittableRandom random;
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger inWork = new AtomicInteger();
    private volatile Trouble trouble = Trouble.NONE;

    /** An endpoint at a free port. */
    StandIn(EventLoopGroup group, String name, long seed, Repeats repeats) throws InterruptedException {
        this.name = name;
        this.repeats = repeats;
        random = new SplittableRandom(seed);
        listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel fresh) {
                    fresh.pipeline().addLast(new HttpServerCodec(),
                        new HttpObjectAggregator(MOST_BODY_BYTES), new Work());
                }
            }).bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)).sync().channel();
    }

    String name() {
        return name;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Requests that have come whole. */
    int requests() {
        return requests.get();
    }

    Trouble trouble() {
        return trouble;
    }

    /** From now on it does this with what comes. */
    void trouble(Trouble now) {
        trouble = now;
    }

    private double workMs() {
        synchronized (random) {
            return LEAST_MS - MEAN_MORE_MS * Math.log(1 - random.nextDouble());
        }
    }

    private final class Work extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            requests.incrementAndGet();
            String id = request.headers().get("X-Request-Id", "");
            repeats.seen(id);
            if (trouble == Trouble.SILENT) {
                return;
            }
            if (inWork.incrementAndGet() > SLOTS) {
                inWork.decrementAndGet();
                FullHttpResponse full = response(HttpResponseStatus.SERVICE_UNAVAILABLE, "full");
                full.headers().set("X-Not-Run", "1");
                ctx.writeAndFlush(full);
                return;
            }
            ctx.executor().schedule(() -> {
                inWork.decrementAndGet();
                if (trouble == Trouble.FAILING) {
                    ctx.writeAndFlush(response(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed"));
                } else if (trouble == Trouble.NONE) {
                    ctx.writeAndFlush(response(HttpResponseStatus.OK, name + " served " + id));
                }
            }, (long) (workMs() * 1e6), TimeUnit.NANOSECONDS);
        }

        private FullHttpResponse response(HttpResponseStatus status, String text) {
            FullHttpResponse made = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
                Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            made.headers().set(HttpHeaderNames.CONTENT_LENGTH, made.content().readableBytes());
            return made;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
