package lemonrail.lab.scale.path;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
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
import java.util.List;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;

/** A discovery whose list never changes: each watch waits out its time and hears that nothing is new. */
final class FixedDiscovery implements AutoCloseable {

    private static final int MOST_BODY_BYTES = 1024;
    private static final int VERSION = 1;

    private final String whole;
    private final Channel listener;

    FixedDiscovery(EventLoopGroup group, List<InetSocketAddress> endpoints) {
        whole = list(endpoints);
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel fresh) {
                        fresh.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY_BYTES), new Asked());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** The whole list in discovery's form. */
    static String list(List<InetSocketAddress> endpoints) {
        StringJoiner lines = new StringJoiner(",");
        for (int i = 0; i < endpoints.size(); i++) {
            lines.add("{\"id\":\"e" + i + "\",\"addr\":\"127.0.0.1:"
                    + endpoints.get(i).getPort()
                    + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,"
                    + "\"started_ms\":0}");
        }
        return "{\"version\":" + VERSION + ",\"full\":true,\"servers\":[" + lines + "]}";
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            var parameters = new QueryStringDecoder(request.uri()).parameters();
            if (parameters.getOrDefault("index", List.of("")).get(0).equals(String.valueOf(VERSION))) {
                long waitMs = Long.parseLong(
                        parameters.getOrDefault("wait", List.of("0")).get(0));
                ctx.executor()
                        .schedule(
                                () -> write(ctx, "{\"version\":" + VERSION + ",\"full\":false,\"servers\":[]}"),
                                waitMs,
                                TimeUnit.MILLISECONDS);
            } else {
                write(ctx, whole);
            }
        }

        private void write(ChannelHandlerContext ctx, String text) {
            FullHttpResponse made = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            made.headers().set(HttpHeaderNames.CONTENT_LENGTH, made.content().readableBytes());
            ctx.writeAndFlush(made);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    @Override
    public void close() {
        listener.close();
    }
}
