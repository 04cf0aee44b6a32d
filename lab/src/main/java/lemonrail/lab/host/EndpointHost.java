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

/** Serves an endpoint model over HTTP on a loopback socket. All methods run on the event loop. */
public final class EndpointHost implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 64 * 1024;

    /** Calls the next tier on behalf of an endpoint. */
    public interface NextTier {
        /**
         * Makes one call for {@code request}. Returns an action that drops the call; otherwise {@code done} accepts
         * whether it was served.
         */
        Runnable call(FullHttpRequest request, AttemptRecorder.Attempt parent, double leftMs, Consumer<Boolean> done);
    }

    private final Scheduler scheduler;
    private final EndpointModel model;
    private final int tier;
    private final double workShare;
    private final CallCount calls;
    private final AttemptRecorder recorder;
    private final Channel listener;
    private final Set<Connection> connections = new HashSet<>();
    private NextTier nextTier;

    /** Draws the number of calls that a request makes to the next tier. */
    public interface CallCount {
        /** Returns the number of calls of the next request. */
        int draw();
    }

    /** Starts listening on a free port. */
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
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new Connection());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    /** Sets the caller of the next tier; must be called before the first request unless this is the last tier. */
    public void setNextTier(NextTier caller) {
        nextTier = caller;
    }

    /** Returns the address at which the endpoint listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns the model that the endpoint serves. */
    public EndpointModel model() {
        return model;
    }

    /** Returns the endpoint id. */
    public String id() {
        return model.shape().id();
    }

    /** Resets all connections, as if the process had died. */
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
        private boolean handshakeDone;
        private boolean accepted;
        private Runnable deferredRequest;
        private RequestWork work;

        @Override
        public void channelActive(ChannelHandlerContext activeContext) {
            ctx = activeContext;
            connections.add(this);
            accepted = model.connect();
            if (accepted) {
                model.handshake(() -> {
                    handshakeDone = true;
                    if (deferredRequest != null) {
                        deferredRequest.run();
                        deferredRequest = null;
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
                respond(HttpResponseStatus.NOT_FOUND, false, "no request id");
                return;
            }
            String deadlineHeader = request.headers().get("X-Deadline-Ms");
            double leftMs = deadlineHeader == null ? Double.POSITIVE_INFINITY : Double.parseDouble(deadlineHeader);
            List<String> workParameter =
                    new QueryStringDecoder(request.uri()).parameters().get("work");
            double requestedWorkMs = workParameter == null ? 0 : Double.parseDouble(workParameter.get(0)) * workShare;
            AttemptRecorder.Attempt attempt = recorder.recordAttempt(id, tier, id(), requestedWorkMs);
            work = new RequestWork(request.retain(), id, attempt, requestedWorkMs, leftMs);
            if (handshakeDone) {
                model.offer(work);
            } else {
                RequestWork deferred = work;
                deferredRequest = () -> model.offer(deferred);
            }
        }

        void respond(HttpResponseStatus status, boolean notExecuted, String text) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            if (notExecuted) {
                response.headers().set("X-Not-Run", "1");
            }
            ctx.writeAndFlush(response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections.remove(this);
            if (accepted) {
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

        /** Work of the request that this connection carries. */
        private final class RequestWork extends Work {
            private final FullHttpRequest request;
            private final String id;
            private final AttemptRecorder.Attempt attempt;
            private final double deadlineMs;
            private Runnable dropCall;

            RequestWork(
                    FullHttpRequest request,
                    String id,
                    AttemptRecorder.Attempt attempt,
                    double requestedWorkMs,
                    double leftMs) {
                super(request.headers().get("Idempotency-Key"), requestedWorkMs, nextTier == null ? 0 : calls.draw());
                this.request = request;
                this.id = id;
                this.attempt = attempt;
                deadlineMs = scheduler.nowMs() + leftMs;
            }

            @Override
            protected void onStarted() {
                attempt.markStarted(scheduler.nowMs());
            }

            @Override
            protected void callNextTier(Consumer<Boolean> done) {
                dropCall = nextTier.call(request, attempt, deadlineMs - scheduler.nowMs(), served -> {
                    dropCall = null;
                    done.accept(served);
                });
            }

            @Override
            protected void onAnswered(Answer answer) {
                work = null;
                attempt.markEnded(scheduler.nowMs(), answer.name().toLowerCase(Locale.ROOT));
                request.release();
                if (!ctx.channel().isActive() || model.isSilent()) {
                    return;
                }
                switch (answer) {
                    case SERVED -> Connection.this.respond(HttpResponseStatus.OK, false, id() + " " + id);
                    case ERROR ->
                        Connection.this.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, false, "a call failed");
                    default -> Connection.this.respond(HttpResponseStatus.SERVICE_UNAVAILABLE, true, "no room");
                }
            }

            private void drop() {
                work = null;
                attempt.markEnded(scheduler.nowMs(), "closed");
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
