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

/**
 * A discovery server whose endpoint list never changes: a watch call from the current version gets an empty delta
 * when its wait is over, any other call a full snapshot.
 */
final class FixedDiscovery implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 1024;
    private static final int VERSION = 1;

    private final String fullSnapshot;
    private final Channel listener;

    FixedDiscovery(EventLoopGroup group, List<InetSocketAddress> endpoints) {
        fullSnapshot = encodeSnapshot(endpoints);
        listener = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection
                                .pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new WatchRequestHandler());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Returns a full snapshot as JSON of the discovery protocol. */
    static String encodeSnapshot(List<InetSocketAddress> endpoints) {
        StringJoiner entries = new StringJoiner(",");
        for (int i = 0; i < endpoints.size(); i++) {
            entries.add("{\"id\":\"e" + i + "\",\"addr\":\"127.0.0.1:"
                    + endpoints.get(i).getPort()
                    + "\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":0,\"state\":\"in_service\",\"weight\":1.0,"
                    + "\"started_ms\":0}");
        }
        return "{\"version\":" + VERSION + ",\"full\":true,\"servers\":[" + entries + "]}";
    }

    private final class WatchRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

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
                write(ctx, fullSnapshot);
            }
        }

        private void write(ChannelHandlerContext ctx, String text) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            ctx.writeAndFlush(response);
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
