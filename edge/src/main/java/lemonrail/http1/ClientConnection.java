package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import lemonrail.core.balancer.Request;
import lemonrail.http1.ClientMessage.BodyComplete;
import lemonrail.http1.ClientMessage.IncomingRequest;
import lemonrail.http1.ClientMessage.RequestError;
import lemonrail.upgrade.AcceptedSocket;

/**
 * One connection of a client: takes its requests in and decides when it is read and when it closes. The last
 * handler of the connection's pipeline, confined to its event loop.
 */
final class ClientConnection extends SimpleChannelInboundHandler<ClientMessage> implements ResponseQueue.Listener {

    /** Requests that a client may send ahead of their responses. */
    private static final int MAX_PIPELINED_REQUESTS = 8;

    private final HttpServer server;
    private final AcceptedSocket channel;
    private final ClientTimeoutHandler timeouts;
    private final RequestReader requestReader;
    private final ResponseQueue responses;
    /** Whether it was accepted beyond the bound: its requests are rejected for as long as that is exceeded. */
    private boolean acceptedOverLimit;

    private boolean hasDispatched;
    private double quietSinceMs;
    /** Null until the channel is active. */
    private ArrivalClock arrivalClock;
    /** The response to the request whose body is still being read, once that request has been passed on; else null. */
    private PendingResponse uploading;
    /** Whether the endpoint takes no more of that body for now. */
    private boolean uploadPaused;

    private boolean continueDue;

    ClientConnection(HttpServer server, AcceptedSocket channel) {
        this.server = server;
        this.channel = channel;
        timeouts = new ClientTimeoutHandler(channel, server.clock());
        requestReader = new RequestReader(server.budget(), this::onUploadReading);
        responses = new ResponseQueue(channel, this);
        quietSinceMs = server.clock().now();
    }

    /** Adds the connection's handlers to its pipeline, in the order in which input passes them. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(timeouts, new HttpRequestDecoder(), new HttpResponseEncoder(), requestReader, this);
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

    // ---- state, for the decision which connections close ----

    /** Returns whether it has sent a request that was dispatched. */
    boolean hasDispatched() {
        return hasDispatched;
    }

    /** Returns whether no response is awaited on it. */
    boolean isQuiet() {
        return responses.isDrained() && !isClosing();
    }

    /** Returns whether it has been quiet since this time, and no request is being received or waits to be read. */
    boolean isQuietSince(double timeMs) {
        return isQuiet() && quietSinceMs <= timeMs && !timeouts.isReceiving() && !channel.hasUnreadBytes();
    }

    /** Returns whether it is idle, and no part of a request has been received. */
    boolean isFree() {
        return isIdle() && !timeouts.isReceiving();
    }

    /** Returns whether no response is awaited and nothing waits to be read. A part of a request may have been read. */
    boolean isIdle() {
        return responses.isDrained() && (!isClosing() || timeouts.isLastResponseWritten()) && !channel.hasUnreadBytes();
    }

    /** Returns whether its last response is being written, or is written. */
    boolean isClosing() {
        return responses.isClosing();
    }

    /** Returns whether its last response is written, and nothing is left to do but to close it. */
    boolean isFinished() {
        return isClosing() && isIdle();
    }

    /** Returns whether nothing has been received or responded to on it since this time. */
    boolean isInactiveSince(double timeMs) {
        return Math.max(quietSinceMs, timeouts.lastReadMs()) <= timeMs;
    }

    /** Returns whether bytes have arrived that are not read yet. */
    boolean hasUnread() {
        return channel.hasUnreadBytes();
    }

    // ---- requests ----

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof RequestReader.HeadEvent) {
            timeouts.onHeadRead();
        }
        if (event == RequestReader.HeadEvent.CONTINUE_EXPECTED) {
            continueDue = true;
            sendContinueIfDue();
        }
    }

    /** Asks for the body that a client holds back, once no response is pending that this would break into. */
    private void sendContinueIfDue() {
        if (continueDue && responses.isEmpty()) {
            continueDue = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
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
            uploading = response;
        } else {
            timeouts.onRequestRead();
        }
        updateReading();
        if (responses.size() > MAX_PIPELINED_REQUESTS) {
            response.respondAndStopReading(RequestReader.TOO_MANY_REQUESTS);
        } else {
            server.router().route(this, request, response);
        }
    }

    private PendingResponse addPendingResponse() {
        PendingResponse response = new PendingResponse(this, server.metrics());
        responses.add(response);
        continueDue = false;
        server.connections().onRequest(this);
        return response;
    }

    private void onRequestError(RequestError error) {
        if (uploading == null) {
            PendingResponse response = addPendingResponse();
            timeouts.onRequestRead();
            updateReading();
            response.respondAndStopReading(error);
            return;
        }
        // The body of a request that is in flight has broken off.
        String requestId = uploading.openRequestId();
        if (requestId != null) {
            PendingResponse truncated = uploading;
            server.dispatcher().onClientDisconnected(requestId);
            truncated.respondAndStopReading(error);
        }
    }

    private void onUploadComplete() {
        PendingResponse response = uploading;
        uploading = null;
        uploadPaused = false;
        timeouts.onRequestRead();
        updateReading();
        response.onRequestRead();
        if (response.openRequestId() != null) {
            server.dispatcher().onRequestBodyReceived(response.openRequestId());
        }
    }

    private void onUploadReading(boolean reading) {
        uploadPaused = !reading;
        timeouts.onBodyReading(reading);
        updateReading();
    }

    /** Returns whether requests are to be rejected, as the connection exceeds the bound on connections. */
    boolean isOverLimit() {
        return acceptedOverLimit && server.connections().excess() > 0;
    }

    /** Notes that a request is being dispatched. */
    void onRequestDispatched() {
        hasDispatched = true;
    }

    /** Returns the request for the load balancer. */
    Request toRequest(RequestHead head) {
        return head.toRequest(arrivalClock.arrivedAtMs(), server.latestDeadlineMs());
    }

    // ---- reading ----

    /**
     * Reads on or stops, by what there is room for. Input that finds no room in the pipeline is left unread only
     * where there is none to hold it: that a client has gone is noticed by reading.
     */
    private void updateReading() {
        timeouts.setHolding(responses.size() >= MAX_PIPELINED_REQUESTS);
        channel.config().setAutoRead(!timeouts.isThrottled() && (isDiscarding() || hasRoomForInput()));
    }

    private boolean isDiscarding() {
        return isClosing() || timeouts.isDiscarding();
    }

    private boolean hasRoomForInput() {
        return !uploadPaused && (channel.isWritable() || uploading != null);
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
        // A client whose body is no longer needed would go on sending it.
        boolean uploadUnneeded = uploading == response;
        return uploadUnneeded || response.isLast() || (server.closesAfterResponse(this) && responses.size() == 1);
    }

    @Override
    public void onWriting(PendingResponse response) {
        if (uploading == response) {
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

    /** The connection is free for the next request, once the responses are written as well. */
    private void onAllResponded() {
        if (responses.hasUnwritten()) {
            timeouts.onResponsesPending();
        } else if (server.connections().onResponded(this)) {
            quietSinceMs = server.clock().now();
            timeouts.onResponsesWritten();
            sendContinueIfDue();
        }
    }

    @Override
    public void onTruncated() {
        cancelPending();
    }

    /** Cancels the requests that cannot be responded to, as the connection is closing or closed. */
    private void cancelPending() {
        Iterable<PendingResponse> cancelled = responses.removeAll();
        server.connections().onCancelled(this);
        for (PendingResponse response : cancelled) {
            cancel(response);
        }
    }

    private void cancel(PendingResponse response) {
        response.onWritten(false);
        String requestId = response.openRequestId();
        if (response.body() != null) {
            response.body().close();
        }
        if (requestId != null) {
            server.dispatcher().onClientDisconnected(requestId);
        }
    }
}
