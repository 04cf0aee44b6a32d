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
import java.net.InetSocketAddress;
import lemonrail.net.BoundedHttpHeaders;
import lemonrail.net.Sockets;

/**
 * Sends HTTP/1.1 GET requests, one at a time, and reuses the connection while it is open. The caller enforces
 * the time limits of requests: it ends an overdue request with {@link #fail}. Belongs to the event loop.
 */
final class HttpGetClient {

    /** Disables the connect timeout, for a caller whose own time limit includes the connect. */
    static final int NO_CONNECT_TIMEOUT = 0;

    /** Receives the events of a request; the last one is a single {@link #onResponse} or {@link #onFailure}. */
    interface Listener {
        /** Returns the URI of the request; called on an open connection, immediately before the request is written. */
        String onConnected();

        /** Called when bytes of the response arrive, before they are decoded. */
        default void onBytesReceived() {}

        /** Called when the response is complete. */
        void onResponse(int status, byte[] body);

        /** Called when the request has failed, after its connection is closed. */
        void onFailure(Object reason);
    }

    private final Listener listener;
    private final Bootstrap bootstrap;
    private Channel channel;
    private InetSocketAddress address;
    private boolean inFlight;

    /**
     * Creates a client without a connection.
     *
     * @param connectTimeoutMs the connect timeout, or {@link #NO_CONNECT_TIMEOUT}
     * @param maxResponseBytes the maximum size of a response body; a larger one fails the request
     */
    HttpGetClient(EventLoop loop, int connectTimeoutMs, int maxResponseBytes, Listener listener) {
        this.listener = listener;
        bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFER_ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel newChannel) {
                        newChannel
                                .pipeline()
                                .addLast(
                                        new ProgressHandler(),
                                        new HttpClientCodec(
                                                BoundedHttpHeaders.decoderConfig(),
                                                HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
                                                HttpClientCodec.DEFAULT_FAIL_ON_MISSING_RESPONSE),
                                        new HttpObjectAggregator(maxResponseBytes),
                                        new ResponseHandler());
                    }
                });
    }

    /** Returns whether a request is in flight, including one that is still connecting. */
    boolean isInFlight() {
        return inFlight;
    }

    /** Returns whether a request to this address can reuse the open connection. */
    boolean isConnectedTo(InetSocketAddress target) {
        return channel != null && channel.isActive() && target.equals(address);
    }

    /**
     * Sends a request, over a new connection if none is open to this address.
     *
     * @throws IllegalStateException if a request is already in flight
     */
    void send(InetSocketAddress target) {
        if (inFlight) {
            throw new IllegalStateException("a request is already in flight");
        }
        inFlight = true;
        if (isConnectedTo(target)) {
            writeRequest();
        } else {
            connect(target);
        }
    }

    private void connect(InetSocketAddress target) {
        dropConnection();
        address = target;
        ChannelFuture connecting = bootstrap.connect(target);
        Channel newChannel = connecting.channel();
        channel = newChannel;
        connecting.addListener(connected -> {
            if (newChannel != channel) {
                newChannel.close();
            } else if (connected.isSuccess()) {
                writeRequest();
            } else {
                fail(connected.cause());
            }
        });
    }

    private void writeRequest() {
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.GET, listener.onConnected(), Unpooled.EMPTY_BUFFER);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request);
    }

    /** Closes the connection; a request in flight fails with this reason. */
    void fail(Object reason) {
        dropConnection();
        if (inFlight) {
            inFlight = false;
            listener.onFailure(reason);
        }
    }

    /** Closes the connection and drops a request in flight without a call of the listener. */
    void close() {
        inFlight = false;
        dropConnection();
    }

    private void dropConnection() {
        if (channel != null) {
            Channel oldChannel = channel;
            channel = null;
            oldChannel.close();
        }
    }

    private boolean isCurrent(ChannelHandlerContext ctx) {
        return ctx.channel() == channel;
    }

    /** Reports received bytes of a response before they are decoded. */
    private final class ProgressHandler extends ChannelInboundHandlerAdapter {

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (isCurrent(ctx) && inFlight) {
                listener.onBytesReceived();
            }
            ctx.fireChannelRead(bytes);
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            if (!isCurrent(ctx) || !inFlight) {
                ctx.close();
                return;
            }
            if (response.decoderResult().isFailure()) {
                fail(response.decoderResult().cause());
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                dropConnection();
            }
            inFlight = false;
            listener.onResponse(response.status().code(), ByteBufUtil.getBytes(response.content()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (isCurrent(ctx)) {
                fail("connection closed before the response was complete");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (isCurrent(ctx)) {
                fail(cause);
            }
            ctx.close();
        }
    }
}
