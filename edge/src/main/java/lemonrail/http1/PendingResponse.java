package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import lemonrail.exchange.ResponseSink;
import lemonrail.http1.ClientMessage.RequestError;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BodyPipe;

/**
 * The response to one request on a client connection, from the arrival of the request until the response has been
 * written. Counts the request and the response in the metrics. Confined to the connection's event loop.
 */
final class PendingResponse implements ResponseSink<UpstreamResponse> {

    /** The number of decimal places of Retry-After, which is sent in seconds with millisecond precision. */
    private static final int RETRY_AFTER_DECIMALS = 3;

    private final ClientConnection connection;
    private final Metrics metrics;
    private final double requestArrivedAtMs;
    /** The id under which the request has been dispatched, or null. */
    private String requestId;

    private int requestClass = RequestHeadMapper.UNKNOWN_CLASS;
    private boolean keepAlive;
    private HttpResponse response;
    /** The body of a streamed response, or null. */
    private BodyPipe body;

    private boolean finished;
    private boolean countedInFlight;

    /**
     * Creates the response to a request that has just been read.
     *
     * @param requestArrivedAtMs the earliest time at which the request can have arrived, in milliseconds
     */
    PendingResponse(ClientConnection connection, Metrics metrics, double requestArrivedAtMs) {
        this.requestArrivedAtMs = requestArrivedAtMs;
        this.connection = connection;
        this.metrics = metrics;
    }

    /** Returns the earliest time at which the request can have arrived, in milliseconds. */
    double requestArrivedAtMs() {
        return requestArrivedAtMs;
    }

    /** Sets the class for which the request and the response are counted. */
    void setRequestClass(int index) {
        requestClass = index;
    }

    /** Sets the id under which the request is dispatched. */
    void setRequestId(String id) {
        requestId = id;
    }

    /** Sets whether the connection stays open after this response. */
    void setKeepAlive(boolean persists) {
        keepAlive = persists;
    }

    /** Notes that the complete request has been read; it counts as in flight from now on. */
    void onRequestRead() {
        if (isCounted() && !finished && !countedInFlight) {
            countedInFlight = true;
            metrics.onRequestStarted();
        }
    }

    /** Notes that the response has been written, or that it cannot be written because the client has disconnected. */
    void onWritten(boolean success) {
        finish(success ? outcomeOf(response.status()) : null);
    }

    /** Notes that the response is truncated. */
    void onTruncated() {
        finish(Metrics.Outcome.ERROR);
    }

    private void finish(Metrics.Outcome outcome) {
        if (finished) {
            return;
        }
        finished = true;
        if (countedInFlight) {
            metrics.onRequestEnded();
        }
        if (outcome != null && isCounted()) {
            metrics.onResponse(requestClass, outcome);
        }
    }

    private boolean isCounted() {
        return requestClass != RequestHeadMapper.UNKNOWN_CLASS;
    }

    private static Metrics.Outcome outcomeOf(HttpResponseStatus status) {
        if (status.equals(HttpResponseStatus.OK)) {
            return Metrics.Outcome.SUCCESS;
        }
        boolean overload = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS);
        return overload ? Metrics.Outcome.OVERLOAD : Metrics.Outcome.ERROR;
    }

    /** Returns whether the request has been passed to the dispatcher. */
    boolean isDispatched() {
        return requestId != null;
    }

    /** Returns the id of the request if the dispatcher is still handling it, or null. */
    String inFlightRequestId() {
        boolean open = response == null || (body != null && !body.isFullyRead());
        return open ? requestId : null;
    }

    /** Returns whether the connection closes after this response. */
    boolean isLast() {
        return !keepAlive;
    }

    /** Returns whether there is a response to write. */
    boolean isReady() {
        return response != null;
    }

    /** Returns the response, or null if there is none yet. */
    HttpResponse response() {
        return response;
    }

    /** Returns the body that follows the head of a streamed response, or null if the response is complete. */
    BodyPipe body() {
        return body;
    }

    @Override
    public void onServed(UpstreamResponse upstream) {
        FullHttpResponse success = createFullResponse(HttpResponseStatus.OK, Unpooled.wrappedBuffer(upstream.body()));
        copyContentType(upstream, success);
        respond(success);
    }

    @Override
    public void onStreamStarted(UpstreamResponse upstreamHead, BodyPipe rest) {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (upstreamHead.length() >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, upstreamHead.length());
        } else {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        copyContentType(upstreamHead, head);
        body = rest;
        respond(head);
    }

    private static void copyContentType(UpstreamResponse from, HttpResponse to) {
        if (from.contentType() != null) {
            to.headers().set(HttpHeaderNames.CONTENT_TYPE, from.contentType());
        }
    }

    @Override
    public void onRejectedByEndpoint(UpstreamResponse upstream) {
        respondAndStopReading(new RequestError(HttpResponseStatus.valueOf(upstream.status()), "turned away"));
    }

    @Override
    public void onRejected(double retryAfterMs) {
        FullHttpResponse rejection = createFullResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, toTextLine("refused"));
        if (retryAfterMs > 0) {
            rejection.headers().set(HttpHeaderNames.RETRY_AFTER, formatSeconds(retryAfterMs));
        }
        respond(rejection);
    }

    private static String formatSeconds(double ms) {
        return BigDecimal.valueOf(Math.round(ms), RETRY_AFTER_DECIMALS).toPlainString();
    }

    @Override
    public void onFailed() {
        respond(HttpResponseStatus.BAD_GATEWAY, "failed");
    }

    /** Responds with a line of text. */
    void respond(HttpResponseStatus status, String text) {
        respond(createFullResponse(status, toTextLine(text)));
    }

    /** Responds with an error. The connection closes after this response, and no further request is read. */
    void respondAndStopReading(RequestError error) {
        keepAlive = false;
        connection.discardInput();
        respond(error.status(), error.reason());
    }

    private void respond(HttpResponse readyResponse) {
        response = readyResponse;
        connection.onResponseReady();
    }

    private static ByteBuf toTextLine(String text) {
        return Unpooled.wrappedBuffer((text + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static FullHttpResponse createFullResponse(HttpResponseStatus status, ByteBuf content) {
        FullHttpResponse full = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        full.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        return full;
    }
}
