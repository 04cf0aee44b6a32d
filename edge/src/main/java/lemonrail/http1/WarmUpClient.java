package lemonrail.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import lemonrail.net.Sockets;

/** The client of the warm-up, which has one connection at a time. Confined to the event loop. */
final class WarmUpClient {

    private static final String STATUS_LINE = "HTTP/1.1 ";
    private static final String SUCCESS_STATUS_LINE = "HTTP/1.1 200";

    private final EventLoop loop;
    private final InetSocketAddress sidecar;
    private final Runnable onFinished;
    /** The current connection, or null. */
    private Channel connection;

    /**
     * Creates a client that is not connected yet.
     *
     * @param onFinished runs when a response is complete, and when the connection has been closed
     */
    WarmUpClient(EventLoop loop, InetSocketAddress sidecar, Runnable onFinished) {
        this.loop = loop;
        this.sidecar = sidecar;
        this.onFinished = onFinished;
    }

    boolean isConnected() {
        return connection != null && connection.isActive();
    }

    /** Opens a connection, then runs {@code onConnected} or {@code onFailed}. */
    void connect(Runnable onConnected, Runnable onFailed) {
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFER_ALLOCATOR)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel opened) {
                        opened.pipeline().addLast(new ResponseHandler());
                    }
                })
                .connect(sidecar);
        connection = connecting.channel();
        connecting.addListener(connected -> {
            if (connected.isSuccess()) {
                onConnected.run();
            } else {
                onFailed.run();
            }
        });
    }

    /** Sends a request: all at once, in two pieces, or as malformed input, depending on its kind. */
    void send(WarmUpRequest request, String text) {
        Channel target = connection;
        switch (request) {
            case PIECES -> {
                int half = text.length() / 2;
                WarmUpRequest.write(target, text.substring(0, half));
                loop.execute(() -> WarmUpRequest.write(target, text.substring(half)));
            }
            case MALFORMED -> WarmUpRequest.write(target, "warm-up\r\n\r\n");
            default -> WarmUpRequest.write(target, text);
        }
    }

    void close() {
        if (connection != null) {
            connection.close();
        }
    }

    /**
     * Detects the end of a response, which is the last byte of an endpoint's body, or an error response of the sidecar
     * itself.
     */
    private final class ResponseHandler extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf part) {
            String text = part.toString(StandardCharsets.ISO_8859_1);
            boolean failed = text.startsWith(STATUS_LINE) && !text.startsWith(SUCCESS_STATUS_LINE);
            if (ctx.channel() == connection && (failed || text.indexOf(WarmUpRequest.LAST_BODY_BYTE) >= 0)) {
                onFinished.run();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (ctx.channel() == connection) {
                onFinished.run();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
