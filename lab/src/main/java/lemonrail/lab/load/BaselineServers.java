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

/** What the sidecar's own cost is measured against: an endpoint that answers at once, and a bare relay. */
public final class BaselineServers {

    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final byte[] BODY = new byte[64];

    private BaselineServers() {}

    private static InetSocketAddress bind(EventLoopGroup group, ChannelInitializer<SocketChannel> each, boolean reads) {
        return (InetSocketAddress) new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, reads)
                .childHandler(each)
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel()
                .localAddress();
    }

    /** An endpoint that answers each request at once with the same few bytes. */
    public static InetSocketAddress endpoint(EventLoopGroup group) {
        return bind(
                group,
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MOST_BODY_BYTES),
                                        new Answering());
                    }
                },
                true);
    }

    private static final class Answering extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            FullHttpResponse answer = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(BODY));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            ctx.writeAndFlush(answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A relay that passes bytes on as they come, a connection for a connection. */
    public static InetSocketAddress relay(EventLoopGroup group, InetSocketAddress target) {
        return bind(
                group,
                new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(SocketChannel near) {
                        Passing back = new Passing(near);
                        Channel far = new Bootstrap()
                                .group(near.eventLoop())
                                .channel(NioSocketChannel.class)
                                .option(ChannelOption.TCP_NODELAY, true)
                                .handler(back)
                                .connect(target)
                                .addListener(up -> {
                                    if (up.isSuccess()) {
                                        near.config().setAutoRead(true);
                                    } else {
                                        near.close();
                                    }
                                })
                                .channel();
                        near.pipeline().addLast(new Passing(far));
                    }
                },
                false);
    }

    private static final class Passing extends ChannelInboundHandlerAdapter {
        private final Channel to;

        Passing(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            to.write((ByteBuf) message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            to.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            to.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
