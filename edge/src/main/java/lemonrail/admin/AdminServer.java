package lemonrail.admin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import lemonrail.net.HttpListener;

/**
 * Serves the admin API: one call a connection. Its connections are few and each has little time, so
 * that callers who say nothing take no room from those who do.
 */
public final class AdminServer {

    /** Connections open at once; beyond them the oldest without a whole call goes. */
    public static final int MOST_CONNECTIONS = 16;

    private static final int BACKLOG = 128;
    private static final int MOST_LINE_BYTES = 2048;
    private static final int MOST_HEAD_BYTES = 8192;
    private static final int MOST_CHUNK_BYTES = 4096;
    /** What a call's body may have, where the calls need none. */
    private static final int MOST_BODY_BYTES = 4096;
    /** A call must be whole so long after the connect. */
    private static final int CALL_MS = 2500;
    /** So long the other side may take over its answer. */
    private static final int LINGER_MS = 1000;

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final AdminHandlers calls;
    private final int mostBodyBytes;
    private final BiConsumer<String, Throwable> bugs;
    /** Those without a whole call, the oldest first, and those that take their answer. */
    private final Set<Connection> silent = new LinkedHashSet<>();

    private final Set<Connection> answered = new LinkedHashSet<>();
    private Channel listener;

    /** A server of an edge on this loop; what goes wrong in it is told to {@code bugs}. */
    public AdminServer(
            EventLoop loop, ByteBufAllocator buffers, AdminOperations operations, BiConsumer<String, Throwable> bugs) {
        this(loop, buffers, calls(new AdminRouter(operations)), MOST_BODY_BYTES, bugs);
    }

    /** A server of other calls, whose bodies may have so many bytes. */
    public AdminServer(
            EventLoop loop,
            ByteBufAllocator buffers,
            AdminHandlers calls,
            int mostBodyBytes,
            BiConsumer<String, Throwable> bugs) {
        this.loop = loop;
        this.buffers = buffers;
        this.calls = calls;
        this.mostBodyBytes = mostBodyBytes;
        this.bugs = bugs;
    }

    private static AdminHandlers calls(AdminRouter router) {
        return (method, uri, body) -> router.route(method, uri);
    }

    /** Listens. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new HttpListener(
                        BACKLOG, MOST_LINE_BYTES, MOST_HEAD_BYTES, MOST_CHUNK_BYTES, mostBodyBytes)
                .bind(loop, buffers, address, Connection::new);
        listener = bound.channel();
        return bound;
    }

    /** Where operators call. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    private void makeRoom() {
        while (silent.size() + answered.size() > MOST_CONNECTIONS) {
            Set<Connection> first = silent.isEmpty() ? answered : silent;
            Connection oldest = first.iterator().next();
            first.remove(oldest);
            oldest.channel.close();
        }
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private Future<?> limit;
        private boolean done;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            silent.add(this);
            makeRoom();
            limit = loop.schedule(
                    () -> answer(AdminResponse.of(HttpResponseStatus.REQUEST_TIMEOUT, "no whole call in time")),
                    CALL_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest call) {
            if (done) {
                return;
            }
            if (call.decoderResult().isFailure()) {
                answer(AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "malformed call"));
                return;
            }
            AdminResponse answer;
            try {
                answer = calls.answer(call.method(), call.uri(), ByteBufUtil.getBytes(call.content()));
            } catch (RuntimeException e) {
                bugs.accept("a call of the operators failed", e);
                answer = AdminResponse.of(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed: see the log");
            }
            answer(answer);
        }

        private void answer(AdminResponse answer) {
            if (done) {
                return;
            }
            done = true;
            silent.remove(this);
            answered.add(this);
            limit.cancel(false);
            limit = loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            ByteBuf text = Unpooled.wrappedBuffer(answer.text().getBytes(StandardCharsets.UTF_8));
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, answer.status(), text);
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (answer.allowed() != null) {
                response.headers().set(HttpHeaderNames.ALLOW, answer.allowed());
            }
            // Its own side ends first: a close outright, with bytes unread, could destroy the answer.
            channel.writeAndFlush(response).addListener(written -> channel.shutdownOutput());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            done = true;
            silent.remove(this);
            answered.remove(this);
            if (limit != null) {
                limit.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                bugs.accept("connection of an operator", cause);
            }
            ctx.close();
        }
    }
}
