package lemonrail.lab;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
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
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import lemonrail.core.Contract.Effect;
import lemonrail.core.Contract.RequestClass;
import lemonrail.core.Contract.Tenant;
import org.HdrHistogram.Histogram;

/**
 * A steady stream of requests, sent when they are due whether or not others have been answered, over
 * connections that are kept. A request's time counts from when it was due. Belongs to its event loop.
 */
final class Trickle {

    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(10);

    /** What has come of the requests so far. */
    record Count(int sent, int served, int refused, int failed, int lost) {
        int ended() {
            return served + refused + failed + lost;
        }
    }

    private final EventLoop loop;
    private final InetSocketAddress edge;
    private final List<RequestClass> classes;
    private final List<Tenant> tenants;
    private final long gapNanos;
    private final Histogram micros = new Histogram(MOST_MICROS, 3);
    private final Deque<Connection> idle = new ArrayDeque<>();
    private long nextAt;
    private boolean on = true;
    private int sent;
    private int served;
    private int refused;
    private int failed;
    private int lost;

    Trickle(EventLoop loop, InetSocketAddress edge, List<RequestClass> classes, List<Tenant> tenants,
            int rate) {
        this.loop = loop;
        this.edge = edge;
        this.classes = classes;
        this.tenants = tenants;
        gapNanos = TimeUnit.SECONDS.toNanos(1) / rate;
    }

    void start() {
        nextAt = System.nanoTime();
        loop.execute(this::sendDue);
    }

    /** Sends no more; what is under way still ends. */
    void stop() {
        on = false;
    }

    Count count() {
        return new Count(sent, served, refused, failed, lost);
    }

    /** Times of served requests in microseconds. */
    Histogram micros() {
        return micros;
    }

    private void sendDue() {
        while (on && System.nanoTime() - nextAt >= 0) {
            Connection kept = idle.pollLast();
            if (kept == null) {
                kept = new Connection();
                kept.open();
            }
            kept.send(sent++, nextAt);
            nextAt += gapNanos;
        }
        if (on) {
            loop.schedule(this::sendDue, Math.max(0, nextAt - System.nanoTime()), TimeUnit.NANOSECONDS);
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        private boolean waiting;
        private long dueAt;

        void open() {
            channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline().addLast(new HttpClientCodec(),
                            new HttpObjectAggregator(MOST_BODY_BYTES), Connection.this);
                    }
                }).connect(edge).channel();
        }

        void send(int number, long due) {
            waiting = true;
            dueAt = due;
            RequestClass kind = classes.get(number % classes.size());
            boolean safe = kind.effect() == Effect.REPEATABLE;
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
                safe ? HttpMethod.GET : HttpMethod.POST, "/api", Unpooled.EMPTY_BUFFER);
            request.headers().set(HttpHeaderNames.HOST, "demo").set("X-Request-Id", "demo-" + number)
                .set("X-Class", kind.name()).set("X-Deadline-Ms", (long) kind.deadlineMs())
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
            if (!safe) {
                request.headers().set("Idempotency-Key", "demo-key-" + number);
            }
            if (!tenants.isEmpty()) {
                request.headers().set("X-Tenant", tenants.get(number % tenants.size()).name());
            }
            if (channel.isActive()) {
                channel.writeAndFlush(request);
            } else {
                loop.execute(() -> sendOnceOpen(request));
            }
        }

        /** A connect on loopback takes a round of the loop or two. */
        private void sendOnceOpen(FullHttpRequest request) {
            if (channel.isActive()) {
                channel.writeAndFlush(request);
            } else if (channel.isOpen()) {
                loop.schedule(() -> sendOnceOpen(request), 1, TimeUnit.MILLISECONDS);
            } else {
                end();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            if (!waiting) {
                ctx.close();
                return;
            }
            waiting = false;
            switch (answer.status().code()) {
                case 200 -> {
                    served++;
                    micros.recordValue(Math.min(MOST_MICROS,
                        TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueAt)));
                }
                case 429, 503 -> refused++;
                default -> failed++;
            }
            if (HttpUtil.isKeepAlive(answer)) {
                idle.addLast(this);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            end();
        }

        private void end() {
            idle.remove(this);
            if (waiting) {
                waiting = false;
                lost++;
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
