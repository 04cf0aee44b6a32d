package lemonrail.http1;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import lemonrail.core.balancer.Request;
import lemonrail.http1.ClientMessage.BodyComplete;
import lemonrail.http1.ClientMessage.IncomingRequest;
import lemonrail.http1.ClientMessage.RequestError;
import lemonrail.net.BoundedHttpHeaders;
import lemonrail.upgrade.AcceptedSocket;

/**
 * One client connection: passes its requests on, and decides when the connection is read and when it closes. This is
 * the last handler of the connection's pipeline, and is confined to the connection's event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<ClientMessage> implements ResponseQueue.Listener {

    /** The number of requests that a client may send before it gets the response to the first of them. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    private final HttpServer server;
    private final AcceptedSocket channel;
    private final ClientTimeoutHandler timeouts;
    private final RequestMemory requestMemory;
    private final RequestReader requestReader;
    private final ResponseQueue responses;
    private final ContinueResponse continueResponse;
    private final ClientUpload upload;
    private final DisconnectCheck disconnectCheck;
    /**
     * Whether the connection was accepted above the maximum number of connections. Its requests are rejected while the
     * maximum is exceeded.
     */
    private boolean acceptedOverLimit;

    private boolean hasDispatched;
    /** When the last response was written or, before that, when the connection was created. */
    private double lastResponseMs;
    /** Null until the channel is active. */
    private ArrivalClock arrivalClock;

    ClientConnection(HttpServer server, AcceptedSocket channel) {
        this.server = server;
        this.channel = channel;
        timeouts = new ClientTimeoutHandler(channel, server.clock(), server.budget());
        requestMemory = new RequestMemory(server.budget());
        requestReader = new RequestReader(requestMemory, server.budget(), server.clock(), this::onUploadReadingChanged);
        responses = new ResponseQueue(channel, server.budget(), this);
        continueResponse = new ContinueResponse(channel, responses);
        upload = new ClientUpload(server.dispatcher());
        disconnectCheck = new DisconnectCheck(channel, server.clock());
        lastResponseMs = server.clock().now();
    }

    /** Adds the connection's handlers to its pipeline, in the order in which they process input. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new PendingWriteFlusher(), timeouts);
        HttpHeadersFactory headers = BoundedHttpHeaders.factory(requestMemory::acquire);
        HttpDecoderConfig decoding =
                new HttpDecoderConfig().setHeadersFactory(headers).setTrailersFactory(headers);
        pipeline.addLast(new HttpRequestDecoder(decoding), new HttpResponseEncoder(), requestReader, this);
    }

    // ---- opening and closing ----

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        arrivalClock = new ArrivalClock(server.clock());
        acceptedOverLimit = !server.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.onClosed(this);
        cancelPending();
    }

    void close() {
        channel.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        server.logConnectionError(cause);
        ctx.close();
    }

    // ---- state that determines which connections are closed ----

    /** Returns whether a request of this connection has been dispatched. */
    boolean hasDispatched() {
        return hasDispatched;
    }

    /** Returns whether no response is pending, and no request is being received or waiting to be read. */
    boolean isUnused() {
        return responses.isDrained() && !isClosing() && !timeouts.isReceiving() && !channel.hasUnreadBytes();
    }

    /** Returns whether the connection is unused, and no response has been pending since this time. */
    boolean isUnusedSince(double timeMs) {
        return isUnused() && lastResponseMs <= timeMs;
    }

    /** Returns whether the connection is idle, and no part of a request has been read. */
    boolean isFullyIdle() {
        return isIdle() && !timeouts.isReceiving();
    }

    /** Returns whether no response is pending and there are no unread bytes. Part of a request may have been read. */
    boolean isIdle() {
        return responses.isDrained() && (!isClosing() || timeouts.isLastResponseWritten()) && !channel.hasUnreadBytes();
    }

    /** Returns whether the last response of the connection is being written or has been written. */
    boolean isClosing() {
        return responses.isClosing();
    }

    /** Returns whether the last response has been written, so that the connection only has to be closed. */
    boolean isFinished() {
        return isClosing() && isIdle();
    }

    /** Returns whether no input has been read and no response completed since this time. */
    boolean isInactiveSince(double timeMs) {
        return Math.max(lastResponseMs, timeouts.lastReadMs()) <= timeMs;
    }

    // ---- requests ----

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof RequestReader.HeadEvent) {
            timeouts.onHeadRead();
        }
        if (event == RequestReader.HeadEvent.CONTINUE_EXPECTED) {
            continueResponse.onExpected();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ClientMessage message) {
        if (message instanceof IncomingRequest request) {
            onRequest(request);
        } else if (message instanceof BodyComplete) {
            onUploadComplete();
        } else if (message instanceof RequestError error) {
            server.logRequestError(error);
            onRequestError(error);
        }
    }

    private void onRequest(IncomingRequest request) {
        PendingResponse response = addPendingResponse();
        if (request.isStreamed()) {
            upload.start(response);
            timeouts.onUploadStarted();
        } else {
            timeouts.onRequestRead();
        }
        updateReading();
        if (responses.size() > maxPipelinedRequests()) {
            response.respondAndStopReading(RequestReader.TOO_MANY_REQUESTS);
            discardUnownedBody(request, response);
        } else if (disconnectCheck.isNeeded()) {
            routeAfterCheck(request, response);
        } else {
            route(request, response);
        }
    }

    /** Routes a request after the check. Until then it counts as held, like a request that has been dispatched. */
    private void routeAfterCheck(IncomingRequest request, PendingResponse response) {
        long bytes = request.memoryBytes();
        server.budget().acquire(bytes);
        disconnectCheck.runAfterCheck(() -> {
            server.budget().release(bytes);
            route(request, response);
        });
    }

    /** Routes a request, unless its client has disconnected in the meantime or it has got an error response. */
    private void route(IncomingRequest request, PendingResponse response) {
        if (responses.isAwaited(response)) {
            server.router().route(this, request, response);
            if (upload.belongsTo(response)) {
                upload.onDispatched();
            }
        }
        discardUnownedBody(request, response);
    }

    /** Discards what arrives of a body that no dispatcher owns. */
    private static void discardUnownedBody(IncomingRequest request, PendingResponse response) {
        if (request.isStreamed() && !response.isDispatched()) {
            request.remainingBody().close();
        }
    }

    /** Returns how many requests may be in flight. While memory is short, it is one on each connection. */
    private int maxPipelinedRequests() {
        return server.budget().hasCapacity() ? MAX_PIPELINED_REQUESTS : 1;
    }

    private PendingResponse addPendingResponse() {
        double arrivedAtMs = Math.min(arrivalClock.arrivedAtMs(), timeouts.inputArrivedAtMs());
        PendingResponse response = new PendingResponse(this, server.metrics(), arrivedAtMs);
        responses.add(response);
        continueResponse.cancel();
        server.connections().onRequest(this);
        return response;
    }

    private void onRequestError(RequestError error) {
        if (upload.isActive()) {
            upload.fail(error);
            return;
        }
        PendingResponse response = addPendingResponse();
        timeouts.onRequestRead();
        updateReading();
        response.respondAndStopReading(error);
    }

    private void onUploadComplete() {
        timeouts.onRequestRead();
        upload.complete();
        updateReading();
    }

    private void onUploadReadingChanged(boolean reading) {
        timeouts.onBodyReadingChanged(reading);
        upload.setReading(reading);
        updateReading();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (upload.isCatchingUp() && !channel.hasUnreadBytes()) {
            upload.onInputDrained();
        }
        ctx.fireChannelReadComplete();
    }

    /** Returns whether requests must be rejected because the maximum number of connections is exceeded. */
    boolean isOverLimit() {
        return acceptedOverLimit && server.connections().excess() > 0;
    }

    /** Notes that a request of this connection is being dispatched. */
    void onRequestDispatched() {
        hasDispatched = true;
    }

    /** Returns the request to pass to the load balancer. */
    Request toRequest(RequestHead head, PendingResponse response) {
        return head.toRequest(response.requestArrivedAtMs(), server.latestDeadlineMs());
    }

    // ---- reading ----

    /**
     * Starts or stops reading. The disconnect of a client is detected only by reading, so reading stops only when its
     * input cannot be buffered, forwarded or discarded.
     */
    private void updateReading() {
        timeouts.setBuffering(responses.size() >= maxPipelinedRequests() && !upload.isActive());
        channel.config().setAutoRead(!timeouts.isThrottled() && (isDiscarding() || hasRoomForInput()));
    }

    private boolean isDiscarding() {
        return isClosing() || timeouts.isDiscarding();
    }

    private boolean hasRoomForInput() {
        return !upload.isPaused() && (channel.isWritable() || upload.isActive());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        updateReading();
        responses.onWritabilityChanged();
    }

    /** Discards all input from now on. */
    void discardInput() {
        requestReader.stop();
        timeouts.discardInput();
    }

    // ---- responses ----

    /** Writes the responses that are ready. */
    void onResponseReady() {
        responses.flush();
    }

    @Override
    public boolean isLast(PendingResponse response) {
        // The connection must close, because otherwise the client would go on sending a body that is no longer needed.
        boolean uploadUnneeded = upload.belongsTo(response);
        return uploadUnneeded || response.isLast() || (server.closesAfterResponse(this) && responses.size() == 1);
    }

    @Override
    public void onWriting(PendingResponse response) {
        if (upload.belongsTo(response)) {
            timeouts.allowRestOfBody();
        }
    }

    @Override
    public void onLastResponse(ChannelFuture lastPart) {
        requestReader.stop();
        timeouts.closeAfter(lastPart);
    }

    @Override
    public void onFlushed() {
        if (isClosing()) {
            cancelPending();
        } else if (responses.isEmpty()) {
            onAllResponded();
        }
        updateReading();
    }

    /**
     * Called when all requests have their responses. If these are written completely, the connection is ready for the
     * next request.
     */
    private void onAllResponded() {
        if (responses.hasUnwritten()) {
            timeouts.onResponsesPending();
        } else if (server.connections().onResponded(this)) {
            lastResponseMs = server.clock().now();
            timeouts.onResponsesWritten();
            continueResponse.sendIfReady();
        }
    }

    @Override
    public void onTruncated() {
        cancelPending();
    }

    /** Cancels the requests that can no longer get a response, because the connection is closing or closed. */
    private void cancelPending() {
        Iterable<PendingResponse> cancelled = responses.removeAll();
        server.connections().onCancelled(this);
        for (PendingResponse response : cancelled) {
            cancel(response);
        }
    }

    private void cancel(PendingResponse response) {
        response.onWritten(false);
        String requestId = response.inFlightRequestId();
        if (response.body() != null) {
            response.body().close();
        }
        if (requestId != null) {
            server.dispatcher().onClientDisconnected(requestId);
        }
    }
}
