package lemonrail.lab.scale.path;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;
import lemonrail.lab.host.ClientPool;
import lemonrail.lab.load.Loads;
import lemonrail.lab.model.ClientRequest;
import org.HdrHistogram.Histogram;

/**
 * A service in a chain. It calls the next service and responds when that has responded; the last one responds
 * immediately. All services of a chain share an event loop and a clock, so each knows exactly how long the next one
 * took for its own work, and thus how much time the process between the two added to this call.
 */
final class Hop implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final byte[] BODY = new byte[64];
    private static final int MAX_CONNECTIONS = 512;
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final String REQUEST_ID_HEADER = "X-Request-Id";
    private static final String CHAIN_HOST = "hop";

    private final SpinningLoop endpointLoop;
    /** The time that services took for calls whose responses have not reached the caller yet, by the call's id. */
    private final Map<String, Long> serviceNanos;

    private final Channel listener;
    private final ClientPool next;
    private final IntFunction<FullHttpRequest> requests;
    private final Histogram addedLatencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
    private int requestCount;

    private Hop(SpinningLoop endpointLoop, Map<String, Long> serviceNanos, InetSocketAddress nextAddress) {
        this.endpointLoop = endpointLoop;
        this.serviceNanos = serviceNanos;
        next = nextAddress == null ? null : new ClientPool(endpointLoop.loop(), nextAddress, MAX_CONNECTIONS);
        requests = Loads.requests(
                HttpMethod.GET,
                CHAIN_HOST,
                "/api",
                Map.of("X-Class", ServedProcess.CLASS, "X-Deadline-Ms", String.valueOf(ServedProcess.DEADLINE_MS)),
                false,
                System.nanoTime());
        listener = new ServerBootstrap()
                .group(endpointLoop.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, MAX_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection
                                .pipeline()
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

    /** Creates the last service of a chain. */
    static Hop createLast(SpinningLoop endpointLoop) {
        return new Hop(endpointLoop, new HashMap<>(), null);
    }

    /** Creates a service that calls this one, at its own address or at that of the process before it. */
    Hop createCaller(InetSocketAddress nextAddress) {
        return new Hop(endpointLoop, serviceNanos, nextAddress);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Resets the counts. */
    void resetCounts() {
        endpointLoop.loop().execute(() -> {
            addedLatencyMicros.reset();
            serviceNanos.clear();
        });
    }

    /** Returns the latency that the route to the next service and back added to each call, in microseconds. */
    Histogram addedLatency() {
        return endpointLoop
                .loop()
                .submit(addedLatencyMicros::copy)
                .syncUninterruptibly()
                .getNow();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            long receivedNanos = System.nanoTime();
            // The time of a call is recorded only if it comes from a service of the chain.
            String id = CHAIN_HOST.equals(request.headers().get(HttpHeaderNames.HOST))
                    ? request.headers().get(REQUEST_ID_HEADER, "")
                    : "";
            if (next == null) {
                respond(ctx, id, receivedNanos, HttpResponseStatus.OK);
                return;
            }
            FullHttpRequest nextRequest = requests.apply(requestCount++);
            String nextRequestId = nextRequest.headers().get(REQUEST_ID_HEADER);
            long sentNanos = System.nanoTime();
            next.send(nextRequest, ServedProcess.DEADLINE_MS, (end, nextResponse) -> {
                Long nextServiceNanos = serviceNanos.remove(nextRequestId);
                if (end == ClientRequest.End.SERVED && nextServiceNanos != null) {
                    long nanos = System.nanoTime() - sentNanos - nextServiceNanos;
                    addedLatencyMicros.recordValue(Math.max(0, Math.min(MAX_LATENCY_MICROS, nanos / 1000)));
                }
                respond(
                        ctx,
                        id,
                        receivedNanos,
                        end == ClientRequest.End.SERVED ? HttpResponseStatus.OK : HttpResponseStatus.BAD_GATEWAY);
            });
        }

        private void respond(ChannelHandlerContext ctx, String id, long receivedNanos, HttpResponseStatus status) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(BODY));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            // Recorded before the write, which sends the response: later work does not belong to this service.
            if (!id.isEmpty()) {
                serviceNanos.put(id, System.nanoTime() - receivedNanos);
            }
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
        if (next != null) {
            endpointLoop.loop().execute(next::close);
        }
    }
}
