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
 * Serves an admin API over HTTP, with one request per connection. Connections are few and have short timeouts, so
 * that idle clients do not block others. Belongs to the event loop.
 */
public final class AdminServer {

    /** The maximum of open connections; above it the oldest connection without a complete request is closed first. */
    public static final int MAX_CONNECTIONS = 16;

    private static final int BACKLOG = 128;
    private static final int MAX_LINE_BYTES = 2048;
    private static final int MAX_HEAD_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 4096;
    /** The maximum body size of requests to a sidecar's admin API, none of which needs a body. */
    private static final int MAX_BODY_BYTES = 4096;
    /** The time limit from the connect to the last byte of the request. */
    private static final int REQUEST_TIMEOUT_MS = 2500;
    /** The time from the response to the close of the connection, unless the client closes it earlier. */
    private static final int RESPONSE_TIMEOUT_MS = 1000;

    private final EventLoop loop;
    private final ByteBufAllocator buffers;
    private final AdminHandler handler;
    private final int maxBodyBytes;
    private final BiConsumer<String, Throwable> onFault;
    /** Connections without a complete request, oldest first. */
    private final Set<Connection> pendingConnections = new LinkedHashSet<>();
    /** Connections whose response is written or being written, oldest first. */
    private final Set<Connection> respondedConnections = new LinkedHashSet<>();

    private Channel listener;

    /**
     * Creates a server of a sidecar's admin API.
     *
     * @param onFault receives a message and the exception if a handler or a connection fails unexpectedly
     */
    public AdminServer(
            EventLoop loop,
            ByteBufAllocator buffers,
            AdminOperations operations,
            BiConsumer<String, Throwable> onFault) {
        this(loop, buffers, new AdminRouter(operations), MAX_BODY_BYTES, onFault);
    }

    /**
     * Creates a server of any admin API.
     *
     * @param maxBodyBytes the maximum size of a request body
     * @param onFault receives a message and the exception if a handler or a connection fails unexpectedly
     */
    public AdminServer(
            EventLoop loop,
            ByteBufAllocator buffers,
            AdminHandler handler,
            int maxBodyBytes,
            BiConsumer<String, Throwable> onFault) {
        this.loop = loop;
        this.buffers = buffers;
        this.handler = handler;
        this.maxBodyBytes = maxBodyBytes;
        this.onFault = onFault;
    }

    /** Starts to listen on an address; port 0 selects a free port. */
    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new HttpListener(BACKLOG, MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES, maxBodyBytes)
                .bind(loop, buffers, address, Connection::new);
        listener = bound.channel();
        return bound;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    private void closeOldestBeyondLimit() {
        while (pendingConnections.size() + respondedConnections.size() > MAX_CONNECTIONS) {
            Set<Connection> candidates = pendingConnections.isEmpty() ? respondedConnections : pendingConnections;
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
            pendingConnections.add(this);
            closeOldestBeyondLimit();
            timeout = loop.schedule(
                    () -> respond(AdminResponse.of(
                            HttpResponseStatus.REQUEST_TIMEOUT, "timed out before the request was complete")),
                    REQUEST_TIMEOUT_MS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            if (responded) {
                return;
            }
            if (request.decoderResult().isFailure()) {
                respond(AdminResponse.of(HttpResponseStatus.BAD_REQUEST, "malformed request"));
                return;
            }
            respond(handle(request));
        }

        private AdminResponse handle(FullHttpRequest request) {
            try {
                return handler.handle(request.method(), request.uri(), ByteBufUtil.getBytes(request.content()));
            } catch (RuntimeException e) {
                onFault.accept("admin request failed", e);
                return AdminResponse.of(
                        HttpResponseStatus.INTERNAL_SERVER_ERROR, "request failed, see the log for the reason");
            }
        }

        private void respond(AdminResponse response) {
            if (responded) {
                return;
            }
            responded = true;
            pendingConnections.remove(this);
            respondedConnections.add(this);
            timeout.cancel(false);
            timeout = loop.schedule(() -> channel.close(), RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            // Close only the output: a full close with unread bytes resets the connection and may lose the response.
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
            pendingConnections.remove(this);
            respondedConnections.remove(this);
            if (timeout != null) {
                timeout.cancel(false);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                onFault.accept("admin connection failed", cause);
            }
            ctx.close();
        }
    }
}
