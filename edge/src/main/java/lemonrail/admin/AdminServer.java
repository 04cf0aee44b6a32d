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
 * Serves the admin API: one request a connection. Connections are few and have short timeouts, so that waiting
 * clients do not keep others out. Belongs to the event loop.
 */
public final class AdminServer {

    /** The most open connections; beyond it the oldest without a complete request is closed. */
    public static final int MAX_CONNECTIONS = 16;

    private static final int BACKLOG = 128;
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_HEAD_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 4096;
    /** The limit on the body of a request to an API whose requests need none. */
    private static final int MAX_BODY_BYTES = 4096;
    /** From the connect to the last byte of the request. */
    private static final int REQUEST_TIMEOUT_MS = 2500;
    /** From the response to the close of the connection, if the client does not close it before. */
    private static final int RESPONSE_TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final AdminHandlers handlers;
    private final int maxBodyBytes;
    private final BiConsumer<String, Throwable> onFault;
    /** Connections without a complete request, oldest first. */
    private final Set<Connection> waiting = new LinkedHashSet<>();
    /** Connections whose response is written or being written, oldest first. */
    private final Set<Connection> answered = new LinkedHashSet<>();

    private Channel listener;

    /**
     * Creates the server of a sidecar.
     *
     * @param onFault receives exceptions that a handler or a connection has thrown
     */
    public AdminServer(
            EventLoop loop,
            ByteBufAllocator buffers,
            AdminOperations operations,
            BiConsumer<String, Throwable> onFault) {
        this(loop, buffers, new AdminRouter(operations), MAX_BODY_BYTES, onFault);
    }

    /**
     * Creates a server of another API.
     *
     * @param maxBodyBytes the limit on the body of a request
     * @param onFault receives exceptions that a handler or a connection has thrown
     */
    public AdminServer(
            EventLoop loop,
            ByteBufAllocator buffers,
            AdminHandlers handlers,
            int maxBodyBytes,
            BiConsumer<String, Throwable> onFault) {
        this.loop = loop;
        this.buffers = buffers;
        this.handlers = handlers;
        this.maxBodyBytes = maxBodyBytes;
        this.onFault = onFault;
    }

    /** Starts to listen at an address; port 0 takes a free one. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new HttpListener(BACKLOG, MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES, maxBodyBytes)
                .bind(loop, buffers, address, Connection::new);
        listener = bound.channel();
        return bound;
    }

    /** Returns the address that the server listens at. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    private void closeOldestBeyondLimit() {
        while (waiting.size() + answered.size() > MAX_CONNECTIONS) {
            Set<Connection> candidates = waiting.isEmpty() ? answered : waiting;
            Connection oldest = candidates.iterator().next();
            candidates.remove(oldest);
            oldest.channel.close();
        }
    }

    /** A connection that carries one request. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private Future<?> timeout;
        private boolean responded;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            waiting.add(this);
            closeOldestBeyondLimit();
            timeout = loop.schedule(
                    () -> respond(AdminResponse.of(HttpResponseStatus.REQUEST_TIMEOUT, "no whole call in time")),
                    REQUEST_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (responded) {
                return;
            }
            if (request.decoderResult().isFailure()) {
                respond(AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "malformed call"));
                return;
            }
            respond(handle(request));
        }

        private AdminResponse handle(FullHttpRequest request) {
            try {
                return handlers.handle(request.method(), request.uri(), ByteBufUtil.getBytes(request.content()));
            } catch (RuntimeException e) {
                onFault.accept("an admin request failed", e);
                return AdminResponse.of(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed: see the log");
            }
        }

        private void respond(AdminResponse response) {
            if (responded) {
                return;
            }
            responded = true;
            waiting.remove(this);
            answered.add(this);
            timeout.cancel(false);
            timeout = loop.schedule(() -> channel.close(), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            // Half-close: a full close with unread bytes would reset the connection and could lose the response.
            channel.writeAndFlush(encode(response)).addListener(written -> channel.shutdownOutput());
        }

        private FullHttpResponse encode(AdminResponse response) {
            ByteBuf text = Unpooled.wrappedBuffer(response.text().getBytes(StandardCharsets.UTF_8));
            FullHttpResponse encoded = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), text);
            encoded.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes())
                    .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
                    .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            if (response.allowed() != null) {
                encoded.headers().set(HttpHeaderNames.ALLOW, response.allowed());
            }
            return encoded;
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            responded = true;
            waiting.remove(this);
            answered.remove(this);
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                onFault.accept("admin connection", cause);
            }
            ctx.close();
        }
    }
}
