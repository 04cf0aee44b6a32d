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
 * A service in a chain: it calls the next one and answers once that has answered; the last answers at once.
 * All services of a chain share a loop and a clock, so each knows exactly how long the next one's own work
 * took, and thus what stands between the two has added to this very call.
 */
final class Hop implements AutoCloseable {

    private static final int MOST_BODY_BYTES = 64 * 1024;
    private static final byte[] BODY = new byte[64];
    private static final int MOST_CONNECTIONS = 512;
    private static final long MOST_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final String ID = "X-Request-Id";
    private static final String NAME = "hop";

    private final SpinningLoop standIns;
    /** How long services took over calls that their callers have not heard of yet, by the call's id. */
    private final Map<String, Long> tookNanos;

    private final Channel listener;
    private final ClientPool next;
    private final IntFunction<FullHttpRequest> requests;
    private final Histogram addedMicros = new Histogram(MOST_MICROS, 3);
    private int made;

    private Hop(SpinningLoop standIns, Map<String, Long> tookNanos, InetSocketAddress to) {
        this.standIns = standIns;
        this.tookNanos = tookNanos;
        next = to == null ? null : new ClientPool(standIns.loop(), to, MOST_CONNECTIONS);
        requests = Loads.requests(
                HttpMethod.GET,
                NAME,
                "/api",
                Map.of("X-Class", ServedProcess.CLASS, "X-Deadline-Ms", String.valueOf(ServedProcess.DEADLINE_MS)),
                false,
                System.nanoTime());
        listener = new ServerBootstrap()
                .group(standIns.group())
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, MOST_CONNECTIONS)
                .childOption(ChannelOption.TCP_NODELAY, true)
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

    /** The last service of a chain. */
    static Hop last(SpinningLoop standIns) {
        return new Hop(standIns, new HashMap<>(), null);
    }

    /** A service that calls this one, at this address: its own, or that of what stands before it. */
    Hop before(InetSocketAddress to) {
        return new Hop(standIns, tookNanos, to);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Counts from now on. */
    void begin() {
        standIns.loop().execute(() -> {
            addedMicros.reset();
            tookNanos.clear();
        });
    }

    /** What the way to the next service and back has added to calls, in microseconds. */
    Histogram added() {
        return standIns.loop().submit(addedMicros::copy).syncUninterruptibly().getNow();
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            long began = System.nanoTime();
            // Nobody asks how long a call took that comes from outside the chain.
            String id = NAME.equals(request.headers().get(HttpHeaderNames.HOST))
                    ? request.headers().get(ID, "")
                    : "";
            if (next == null) {
                answer(ctx, id, began, HttpResponseStatus.OK);
                return;
            }
            FullHttpRequest further = requests.apply(made++);
            String furtherId = further.headers().get(ID);
            long sent = System.nanoTime();
            next.send(further, ServedProcess.DEADLINE_MS, (end, answer) -> {
                Long inner = tookNanos.remove(furtherId);
                if (end == ClientRequest.End.SERVED && inner != null) {
                    long nanos = System.nanoTime() - sent - inner;
                    addedMicros.recordValue(Math.max(0, Math.min(MOST_MICROS, nanos / 1000)));
                }
                answer(
                        ctx,
                        id,
                        began,
                        end == ClientRequest.End.SERVED ? HttpResponseStatus.OK : HttpResponseStatus.BAD_GATEWAY);
            });
        }

        private void answer(ChannelHandlerContext ctx, String id, long began, HttpResponseStatus status) {
            FullHttpResponse answer =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(BODY));
            answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY.length);
            // Before the write, in which it goes out: what comes after is no work of this service.
            if (!id.isEmpty()) {
                tookNanos.put(id, System.nanoTime() - began);
            }
            ctx.writeAndFlush(answer);
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
            standIns.loop().execute(next::close);
        }
    }
}
