package lemonrail.lab.host;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.lab.model.EndpointModel;
import lemonrail.lab.model.Scheduler;
import lemonrail.lab.model.Work;

/** An endpoint's model on a loopback socket: it speaks the platform's protocol. Belongs to its event loop. */
public final class EndpointHost implements AutoCloseable {

    private static final int MOST_BODY_BYTES = 64 * 1024;

    /** Calls the next tier for an endpoint. */
    public interface NextTier {
        /** One call on behalf of a request, which {@code done} hears of unless the call is dropped. */
        Runnable call(FullHttpRequest of, AttemptRecorder.Attempt onBehalfOf, double leftMs, Consumer<Boolean> done);
    }

    private final Scheduler scheduler;
    private final EndpointModel model;
    private final int tier;
    private final double workShare;
    private final CallCount calls;
    private final AttemptRecorder recorder;
    private final Channel listener;
    private final Set<Connection> connections = new HashSet<>();
    private NextTier next;

    /** Draws how many calls a request makes. */
    public interface CallCount {
        /** The next one's. */
        int draw();
    }

    /** Listens at a free port. */
    public EndpointHost(
            EventLoop loop,
            Scheduler scheduler,
            EndpointModel model,
            int tier,
            double workShare,
            CallCount calls,
            AttemptRecorder recorder) {
        this.scheduler = scheduler;
        this.model = model;
        this.tier = tier;
        this.workShare = workShare;
        this.calls = calls;
        this.recorder = recorder;
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MOST_BODY_BYTES),
                                        new Connection());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    /** Who calls the next tier; set before the first request where there is one. */
    public void next(NextTier caller) {
        next = caller;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** What it plays. */
    public EndpointModel model() {
        return model;
    }

    /** Its name. */
    public String id() {
        return model.shape().id();
    }

    /** All its connections are reset, as when its process dies. */
    public void reset() {
        for (Connection connection : List.copyOf(connections)) {
            connection.abort();
        }
    }

    @Override
    public void close() {
        listener.close();
        reset();
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private ChannelHandlerContext ctx;
        private boolean shaken;
        private boolean counted;
        private Runnable first;
        private Served work;

        @Override
        public void channelActive(ChannelHandlerContext active) {
            ctx = active;
            connections.add(this);
            counted = model.connect();
            if (counted) {
                model.handshake(() -> {
                    shaken = true;
                    if (first != null) {
                        first.run();
                        first = null;
                    }
                });
            } else if (!model.isSilent()) {
                abort();
            }
        }

        void abort() {
            ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
            ctx.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String id = request.headers().get("X-Request-Id");
            if (id == null) {
                answer(HttpResponseStatus.NOT_FOUND, false, "no request id");
                return;
            }
            String left = request.headers().get("X-Deadline-Ms");
            double leftMs = left == null ? Double.POSITIVE_INFINITY : Double.parseDouble(left);
            List<String> given =
                    new QueryStringDecoder(request.uri()).parameters().get("work");
            double askedMs = given == null ? 0 : Double.parseDouble(given.get(0)) * workShare;
            AttemptRecorder.Attempt seen = recorder.recordAttempt(id, tier, id(), askedMs);
            work = new Served(request.retain(), id, seen, askedMs, leftMs);
            if (shaken) {
                model.offer(work);
            } else {
                Served held = work;
                first = () -> model.offer(held);
            }
        }

        void answer(HttpResponseStatus status, boolean notRun, String text) {
            FullHttpResponse made = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            made.headers().set(HttpHeaderNames.CONTENT_LENGTH, made.content().readableBytes());
            if (notRun) {
                made.headers().set("X-Not-Run", "1");
            }
            ctx.writeAndFlush(made);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            if (counted) {
                model.disconnect();
            }
            if (work != null) {
                work.drop();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }

        /** A request in this endpoint's hands. */
        private final class Served extends Work {
            private final FullHttpRequest request;
            private final String id;
            private final AttemptRecorder.Attempt seen;
            private final double untilMs;
            private Runnable dropCall;

            Served(FullHttpRequest request, String id, AttemptRecorder.Attempt seen, double askedMs, double leftMs) {
                super(request.headers().get("Idempotency-Key"), askedMs, next == null ? 0 : calls.draw());
                this.request = request;
                this.id = id;
                this.seen = seen;
                untilMs = scheduler.nowMs() + leftMs;
            }

            @Override
            protected void onStarted() {
                seen.ran(scheduler.nowMs());
            }

            @Override
            protected void callNextTier(Consumer<Boolean> done) {
                dropCall = next.call(request, seen, untilMs - scheduler.nowMs(), served -> {
                    dropCall = null;
                    done.accept(served);
                });
            }

            @Override
            protected void onAnswered(Answer answer) {
                work = null;
                seen.ended(scheduler.nowMs(), answer.name().toLowerCase(Locale.ROOT));
                request.release();
                if (!ctx.channel().isActive() || model.isSilent()) {
                    return;
                }
                switch (answer) {
                    case SERVED -> Connection.this.answer(HttpResponseStatus.OK, false, id() + " " + id);
                    case ERROR ->
                        Connection.this.answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, false, "a call failed");
                    default -> Connection.this.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, true, "no room");
                }
            }

            private void drop() {
                work = null;
                seen.ended(scheduler.nowMs(), "closed");
                model.cancel(this);
                if (dropCall != null) {
                    dropCall.run();
                }
                request.release();
            }
        }

        private String id() {
            return EndpointHost.this.id();
        }
    }
}
