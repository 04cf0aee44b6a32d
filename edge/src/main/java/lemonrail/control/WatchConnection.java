package lemonrail.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * One connection of a sidecar or a peer. It admits requests, passes them to its session and writes the
 * responses. A client must read a response before it sends its next request. Belongs to the event loop.
 */
final class WatchConnection extends SimpleChannelInboundHandler<FullHttpRequest> implements WatchSession.Responder {

    private static final String WATCH_PATH = "/registry/instances";
    /** An estimate of the size of a request's or response's head without its path, for {@link WatchObserver}. */
    private static final int ESTIMATED_HEAD_BYTES = 80;

    private final WatchServer server;
    private final WatchContext context;
    private final SocketChannel channel;
    private final WatchSession session;
    private String watcherName = "";
    private String peer = "";
    private boolean keepAlive;
    private double lastActiveAtMs;
    /** The body size of the response that is being written, 0 if there is none. */
    private long unwrittenBytes;
    /** The time at which the pending write of a response started, 0 if no write is pending. */
    private double writeStartedAtMs;

    WatchConnection(WatchServer server, WatchContext context, SocketChannel channel) {
        this.server = server;
        this.context = context;
        this.channel = channel;
        session = new WatchSession(context, this);
        lastActiveAtMs = context.clock().now();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.onOpened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest httpRequest) {
        lastActiveAtMs = context.clock().now();
        if (session.isRequestInProgress() || unwrittenBytes > 0) {
            server.closeSlow(this, "client sent a request before it had read the previous response");
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(httpRequest);
        QueryStringDecoder query = new QueryStringDecoder(httpRequest.uri());
        if (httpRequest.decoderResult().isFailure()) {
            respondWithError(HttpResponseStatus.BAD_REQUEST, "malformed request");
        } else if (!query.path().equals(WATCH_PATH)) {
            respondWithError(HttpResponseStatus.NOT_FOUND, "unknown path");
        } else if (!httpRequest.method().equals(HttpMethod.GET)) {
            respondWithError(HttpResponseStatus.METHOD_NOT_ALLOWED, "method not allowed: this path supports only GET");
        } else {
            parseAndStart(query, httpRequest.uri().length() + ESTIMATED_HEAD_BYTES);
        }
    }

    private void parseAndStart(QueryStringDecoder query, int requestBytes) {
        try {
            start(WatchRequest.parse(query), requestBytes);
        } catch (IllegalArgumentException e) {
            respondWithError(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    private void start(WatchRequest request, int requestBytes) {
        peer = request.peer();
        if (request.isFromPeer() && context.node().isPartitioned(peer)) {
            channel.close();
            return;
        }
        boolean servesBeforeReady = request.isFromPeer() && context.node().servesPeersUntilReady();
        if (!context.store().isReady() && !servesBeforeReady) {
            respondWithError(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    "not ready: no full snapshot received from another control node yet");
            return;
        }
        if (!request.isFromPeer() && server.isFull()) {
            respondWithError(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many watchers");
            return;
        }
        if (request.report() != null) {
            watcherName = request.report().watcher();
            server.onRequest(watcherName, request.digest(), requestBytes);
            context.appliedVersions().onReport((long) context.clock().now(), request.report());
        }
        session.start(request);
    }

    void onTopicsChanged(Set<String> topics) {
        session.onTopicsChanged(topics);
    }

    /** Returns the name of the peer at the other end, or an empty string if the client is not a peer. */
    String peer() {
        return peer;
    }

    /** Returns the watcher's name, or an empty string if the watcher has not sent one. */
    String watcherName() {
        return watcherName;
    }

    /** Returns whether the write of a response has been pending for longer than this. */
    boolean isWritingForLongerThan(double ms) {
        return writeStartedAtMs > 0 && context.clock().now() - writeStartedAtMs > ms;
    }

    /** Returns whether no request is in progress and there has been no traffic for longer than this. */
    boolean isIdleForLongerThan(double ms) {
        return !session.isRequestInProgress() && context.clock().now() - lastActiveAtMs > ms;
    }

    void close() {
        channel.close();
    }

    /** Closes the connection immediately and discards unwritten bytes. */
    void reset() {
        channel.config().setSoLinger(0);
        channel.close();
    }

    @Override
    public void onWaiting() {
        server.onWaiting(this);
    }

    @Override
    public void respond(ByteBuf body) {
        server.onSuccess();
        write(HttpResponseStatus.OK, body);
    }

    private void respondWithError(HttpResponseStatus status, String reason) {
        write(status, Unpooled.copiedBuffer(reason + "\n", StandardCharsets.UTF_8));
    }

    private void write(HttpResponseStatus status, ByteBuf body) {
        endRequest();
        int bodyBytes = body.readableBytes();
        server.onResponse(watcherName, bodyBytes, bodyBytes + ESTIMATED_HEAD_BYTES);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
                .set(
                        HttpHeaderNames.CONTENT_TYPE,
                        status.equals(HttpResponseStatus.OK) ? "application/json" : "text/plain");
        HttpUtil.setKeepAlive(response, keepAlive);
        unwrittenBytes = bodyBytes;
        ChannelFuture written = channel.writeAndFlush(response);
        if (written.isDone()) {
            onWritten(written);
            return;
        }
        writeStartedAtMs = context.clock().now();
        written.addListener(done -> onWritten(written));
        server.onWriteStarted(this, bodyBytes);
    }

    private void onWritten(ChannelFuture written) {
        endWrite();
        lastActiveAtMs = context.clock().now();
        if (!written.isSuccess() || !keepAlive) {
            channel.close();
        }
    }

    private void endWrite() {
        server.onWriteEnded(this, unwrittenBytes);
        unwrittenBytes = 0;
        writeStartedAtMs = 0;
    }

    private void endRequest() {
        server.onWaitingEnded(this);
        session.end();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.onClosed(this);
        endRequest();
        endWrite();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            context.log().error("watch connection failed", cause);
        }
        ctx.close();
    }
}
