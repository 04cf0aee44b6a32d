package lemonrail.lab.host;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
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
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import lemonrail.lab.model.Registry;

/** Serves a discovery agent of one sidecar over HTTP on a loopback socket. */
final class AgentHost implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 1024;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Registry.Agent agent;
    private final Function<String, EndpointHost> endpoints;
    private final Function<String, InetSocketAddress> addresses;
    private final double unixMs;
    private final Channel listener;

    /**
     * Starts an agent on a free port.
     *
     * @param endpoints returns the endpoint of an id
     * @param addresses returns the address at which the sidecar reaches the endpoint of an id
     * @param unixMs Unix time in ms at which the run began
     */
    AgentHost(
            EventLoop loop,
            Registry.Agent agent,
            Function<String, EndpointHost> endpoints,
            Function<String, InetSocketAddress> addresses,
            double unixMs) {
        this.agent = agent;
        this.endpoints = endpoints;
        this.addresses = addresses;
        this.unixMs = unixMs;
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(),
                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                        new RequestHandler());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .syncUninterruptibly()
                .channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    @Override
    public void close() {
        listener.close();
    }

    private ObjectNode json(Registry.Response response) {
        ObjectNode list =
                JSON.createObjectNode().put("version", response.version()).put("full", response.full());
        var servers = list.putArray("servers");
        for (Registry.Entry entry : response.entries()) {
            InetSocketAddress address = addresses.apply(entry.id());
            servers.addObject()
                    .put("id", entry.id())
                    .put("addr", address.getAddress().getHostAddress() + ":" + address.getPort())
                    .put("zone", "default")
                    .put("kind", "std")
                    .put("cell", endpoints.apply(entry.id()).model().shape().rack())
                    .put("state", entry.state().name().toLowerCase(Locale.ROOT))
                    .put("weight", 1.0)
                    .put(
                            "started_ms",
                            Double.isInfinite(entry.startedMs()) ? 0 : Math.round(unixMs + entry.startedMs()));
        }
        return list;
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            Map<String, List<String>> parameters = query.parameters();
            if (!query.path().equals("/registry/instances")) {
                write(ctx, HttpResponseStatus.NOT_FOUND, "");
            } else if (parameters.containsKey("index")) {
                agent.watch(
                        Long.parseLong(parameters.get("index").get(0)),
                        Double.parseDouble(
                                parameters.getOrDefault("wait", List.of("0")).get(0)),
                        response ->
                                write(ctx, HttpResponseStatus.OK, json(response).toString()));
            } else {
                agent.fetchAll(response ->
                        write(ctx, HttpResponseStatus.OK, json(response).toString()));
            }
        }

        private void write(ChannelHandlerContext ctx, HttpResponseStatus status, String text) {
            FullHttpResponse httpResponse = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
            httpResponse
                    .headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, httpResponse.content().readableBytes());
            ctx.writeAndFlush(httpResponse);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
