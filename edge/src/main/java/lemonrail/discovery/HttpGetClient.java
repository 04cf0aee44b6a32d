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
import lemonrail.net.Sockets;

/**
 * Sends HTTP/1.1 GET requests, one at a time, on a connection that is reused while it lasts. Time limits are
 * the caller's: it ends an overdue request by {@link #fail}. Belongs to the event loop.
 */
final class HttpGetClient {

    /** No connect time-out besides the caller's time limit. */
    static final int NO_CONNECT_TIMEOUT = 0;

    /** Receives the events of a request: {@link #onResponse} or {@link #onFailure} once, as the last one. */
    interface Listener {
        /** Returns the URI of the request; called when the connection is ready, right before the write. */
        String onConnected();

        /** Bytes of the response have arrived. */
        default void onBytesReceived() {}

        /** The response is complete. */
        void onResponse(int status, byte[] body);

        /** There will be no response; the connection is closed. */
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
     * @param connectTimeoutMs the time for a connection, or {@link #NO_CONNECT_TIMEOUT}
     * @param maxResponseBytes the largest response body
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
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new ProgressHandler(),
                                        new HttpClientCodec(),
                                        new HttpObjectAggregator(maxResponseBytes),
                                        new ResponseHandler());
                    }
                });
    }

    /** Returns whether a request is in flight, one that waits for its connection included. */
    boolean isInFlight() {
        return inFlight;
    }

    /** Returns whether the next request to this address needs no new connection. */
    boolean isConnectedTo(InetSocketAddress target) {
        return channel != null && channel.isActive() && target.equals(address);
    }

    /**
     * Sends a request, over a new connection if there is none to this address.
     *
     * @throws IllegalStateException if a request is in flight
     */
    void send(InetSocketAddress target) {
        if (inFlight) {
            throw new IllegalStateException("a request is in flight already");
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
        Channel fresh = connecting.channel();
        channel = fresh;
        connecting.addListener(connected -> {
            if (fresh != channel) {
                fresh.close();
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

    /** Closes the connection; a request in flight fails for this reason. */
    void fail(Object reason) {
        dropConnection();
        if (inFlight) {
            inFlight = false;
            listener.onFailure(reason);
        }
    }

    /** Closes the connection; a request in flight ends without notice to the listener. */
    void close() {
        inFlight = false;
        dropConnection();
    }

    private void dropConnection() {
        if (channel != null) {
            Channel dropped = channel;
            channel = null;
            dropped.close();
        }
    }

    private boolean isCurrent(ChannelHandlerContext ctx) {
        return ctx.channel() == channel;
    }

    /** Reports the progress of a response, before it is decoded. */
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
                fail("the connection ended");
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
