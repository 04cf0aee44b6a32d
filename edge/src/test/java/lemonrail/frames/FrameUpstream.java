package lemonrail.frames;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import lemonrail.discovery.EndpointList;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Upstream;

/** The endpoint side of the test protocol. Each attempt opens a connection and closes it when it ends. */
final class FrameUpstream implements Upstream<FrameRequest, Frame> {

    private final Map<String, InetSocketAddress> addresses = new HashMap<>();
    private final EventLoopContext context;
    private int maxConnections;
    private int openConnections;

    FrameUpstream(EventLoopContext context, int maxConnections) {
        this.context = context;
        this.maxConnections = maxConnections;
    }

    private final class Attempt extends SimpleChannelInboundHandler<Frame> implements Upstream.Attempt {
        private final FrameRequest request;
        private final double timeoutMs;
        private AttemptListener<Frame> listener;
        private Channel channel;
        private boolean written;

        Attempt(FrameRequest request, double timeoutMs, AttemptListener<Frame> listener) {
            this.request = request;
            this.timeoutMs = timeoutMs;
            this.listener = listener;
        }

        void open(InetSocketAddress address) {
            openConnections++;
            ChannelFuture connecting = new Bootstrap()
                    .group(context.loop())
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int)
                            context.settings().limits().connectTimeoutMs())
                    .handler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel newChannel) {
                            Frame.addTo(newChannel.pipeline());
                            newChannel.pipeline().addLast(Attempt.this);
                        }
                    })
                    .connect(address);
            channel = connecting.channel();
            channel.closeFuture().addListener(closed -> {
                openConnections--;
                finish(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
            });
            connecting.addListener(connected -> {
                if (!connected.isSuccess()) {
                    finish(AttemptOutcome.CONNECT_ERROR, null);
                } else if (listener != null && !listener.mayStart()) {
                    channel.close();
                } else if (listener != null) {
                    Frame frame = new Frame('Q', request.id() + "|" + (long) timeoutMs + "|" + request.text());
                    channel.writeAndFlush(frame).addListener(write -> {
                        written = write.isSuccess();
                        if (written && listener != null) {
                            context.metrics().onDispatch();
                            listener.onRequestWritten();
                        }
                    });
                }
            });
        }

        @Override
        public boolean mayHaveExecuted() {
            return written;
        }

        @Override
        public boolean cancel() {
            listener = null;
            channel.close();
            return written;
        }

        private void finish(AttemptOutcome outcome, Frame response) {
            AttemptListener<Frame> notifiedListener = listener;
            listener = null;
            if (notifiedListener != null) {
                notifiedListener.onFinished(outcome, response);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame response) {
            AttemptOutcome outcome = switch (response.kind()) {
                case 'S' -> AttemptOutcome.OK;
                case 'N' -> AttemptOutcome.QUEUE_FULL;
                case 'B' -> AttemptOutcome.IGNORED;
                default -> AttemptOutcome.FAILED;
            };
            finish(outcome, response);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void updateEndpoints(EndpointList list) {
        if (list.full()) {
            addresses.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            if (entry.endpoint().state() == EndpointState.GONE) {
                addresses.remove(entry.endpoint().id());
            } else {
                addresses.put(entry.endpoint().id(), entry.address());
            }
        }
    }

    @Override
    public Upstream.Attempt startAttempt(
            String endpoint, FrameRequest request, double timeoutMs, AttemptListener<Frame> listener) {
        Attempt attempt = new Attempt(request, timeoutMs, listener);
        InetSocketAddress address = addresses.get(endpoint);
        if (address == null || openConnections >= maxConnections) {
            attempt.finish(AttemptOutcome.CONNECT_ERROR, null);
        } else {
            attempt.open(address);
        }
        return attempt;
    }

    @Override
    public void closeIdleConnections(String endpoint) {
        // Each connection is closed with its attempt, so that none is idle.
    }

    @Override
    public void setMaxConnections(int connections) {
        maxConnections = connections;
    }

    @Override
    public int endpointCount() {
        return addresses.size();
    }

    @Override
    public void close() {
        addresses.clear();
    }
}
