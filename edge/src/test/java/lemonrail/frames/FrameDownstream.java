package lemonrail.frames;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import lemonrail.core.balancer.Request;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.ResponseSink;
import lemonrail.streaming.BodyPipe;

/**
 * The client side of the test protocol. A connection carries one request at a time, in the form
 * {@code id|class|timeout|text} with the timeout in milliseconds.
 */
final class FrameDownstream implements Downstream {

    private final EventLoopContext context;
    private final RequestDispatcher<FrameRequest, Frame> dispatcher;
    private final Set<Connection> connections = new LinkedHashSet<>();
    private int maxConnections;
    private Channel listener;
    private boolean closeAfterResponse;
    private double latestDeadlineMs = Double.POSITIVE_INFINITY;

    FrameDownstream(EventLoopContext context, RequestDispatcher<FrameRequest, Frame> dispatcher, int maxConnections) {
        this.context = context;
        this.dispatcher = dispatcher;
        this.maxConnections = maxConnections;
    }

    private final class Connection extends SimpleChannelInboundHandler<Frame> implements ResponseSink<Frame> {
        private Channel channel;
        private String requestId;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            connections.add(this);
            if (connections.size() > maxConnections) {
                respond(new Frame('R', "0"));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
            String[] parts = frame.text().split("\\|", 4);
            int classIndex = context.settings().classes().stream()
                    .map(c -> c.name())
                    .toList()
                    .indexOf(parts[1]);
            if (requestId != null || classIndex < 0 || dispatcher.isDuplicate(parts[0], classIndex)) {
                respond(new Frame('B', "no request"));
                return;
            }
            requestId = parts[0];
            double nowMs = context.clock().now();
            dispatcher.dispatch(
                    new Request(
                            requestId,
                            classIndex,
                            0,
                            Math.min(latestDeadlineMs, nowMs + Double.parseDouble(parts[2])),
                            false),
                    new FrameRequest(requestId, parts[3]),
                    this);
        }

        private void respond(Frame frame) {
            requestId = null;
            ChannelFuture written = channel.writeAndFlush(frame);
            if (closeAfterResponse) {
                written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void onServed(Frame response) {
            respond(response);
        }

        @Override
        public void onStreamStarted(Frame head, BodyPipe body) {
            throw new IllegalStateException("the test protocol does not stream responses");
        }

        @Override
        public void onRejectedByEndpoint(Frame response) {
            respond(response);
        }

        @Override
        public void onRejected(double retryAfterMs) {
            respond(new Frame('R', String.valueOf(retryAfterMs)));
        }

        @Override
        public void onFailed() {
            respond(new Frame('F', ""));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(this);
            if (requestId != null) {
                dispatcher.onClientDisconnected(requestId);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap()
                .group(context.loop())
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        Frame.addTo(newChannel.pipeline());
                        newChannel.pipeline().addLast(new Connection());
                    }
                })
                .bind(address);
        listener = bound.channel();
        return bound;
    }

    @Override
    public void setMaxConnections(int maximum) {
        maxConnections = maximum;
    }

    @Override
    public void capDeadlines(double remainingMs) {
        latestDeadlineMs = context.clock().now() + remainingMs;
    }

    @Override
    public void closeListener() {
        listener.close();
    }

    @Override
    public void releaseAddress() {
        closeListener();
        closeAfterResponse = true;
    }

    @Override
    public void closeAfterResponses() {
        closeAfterResponse = true;
        List.copyOf(connections).stream()
                .filter(connection -> connection.requestId == null)
                .forEach(connection -> connection.channel.close());
    }

    @Override
    public void startDraining() {
        closeAfterResponses();
    }

    @Override
    public void stopDraining() {
        closeAfterResponse = false;
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
}
