package lemonrail.lab.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
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

/** Servers against which the cost of a sidecar is measured: an endpoint that answers at once, and a TCP relay. */
public final class BaselineServers {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final byte[] BODY = new byte[64];

    private BaselineServers() {}

    private static InetSocketAddress bind(
            EventLoopGroup group, ChannelInitializer<SocketChannel> initializer, boolean autoRead) {
        return (InetSocketAddress) new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, autoRead)
                .childHandler(initializer)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    /** Starts an endpoint that answers each request at once with the same 64 bytes. Returns its address. */
    public static InetSocketAddress endpoint(EventLoopGroup group) {
        return bind(
                group,
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new ResponseHandler());
                    }
                },
                true);
    }

    private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(BODY));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            ctx.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** Starts a relay that forwards bytes as they arrive, with one connection to {@code target} per connection. */
    public static InetSocketAddress relay(EventLoopGroup group, InetSocketAddress target) {
        return bind(
                group,
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel inbound) {
                        ForwardingHandler backward = new ForwardingHandler(inbound);
                        Channel outbound = new Bootstrap()
                                .group(inbound.eventLoop())
                                .channel(NioSocketChannel.class)
                                .option(ChannelOption.TCP_NODELAY, true)
                                .handler(backward)
                                .connect(target)
                                .addListener(connected -> {
                                    if (connected.isSuccess()) {
                                        inbound.config().setAutoRead(true);
                                    } else {
                                        inbound.close();
                                    }
                                })
                                .channel();
                        inbound.pipeline().addLast(new ForwardingHandler(outbound));
                    }
                },
                false);
    }

    private static final class ForwardingHandler extends ChannelInboundHandlerAdapter {
        private final Channel destination;

        ForwardingHandler(Channel destination) {
            this.destination = destination;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            destination.write((ByteBuf) message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            destination.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            destination.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
