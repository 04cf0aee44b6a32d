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
 * The response to one request on a client's connection, from the request's arrival until the response is
 * written; counts it in the metrics. Confined to the connection's event loop.
 */
final class PendingResponse implements ResponseSink<UpstreamResponse> {

    /** Retry-After is given in seconds with this many digits after the point. */
    private static final int RETRY_AFTER_DIGITS = 3;

    private final ClientConnection connection;
    private final Metrics metrics;
    /** The id under which the request is dispatched, or null. */
    private String requestId;

    private int requestClass = RequestHeadMapper.UNKNOWN_CLASS;
    private boolean keepAlive;
    private HttpResponse response;
    /** The body of a streamed response, or null. */
    private BodyPipe body;

    private boolean finished;
    private boolean countedInFlight;

    PendingResponse(ClientConnection connection, Metrics metrics) {
        this.connection = connection;
        this.metrics = metrics;
    }

    /** Sets the class that the response is counted for. */
    void setRequestClass(int index) {
        requestClass = index;
    }

    /** Sets the id under which the request is dispatched. */
    void setRequestId(String id) {
        requestId = id;
    }

    /** Sets whether the connection persists after this response. */
    void setKeepAlive(boolean persists) {
        keepAlive = persists;
    }

    /** Notes that the request has been read whole, from when on it counts as in flight. */
    void onRequestRead() {
        if (isCounted() && !finished && !countedInFlight) {
            countedInFlight = true;
            metrics.onRequestStarted();
        }
    }

    /** Notes that the response is written, or that it never will be as the client has gone. */
    void onWritten(boolean success) {
        finish(success ? ending(response.status()) : null);
    }

    /** Notes that the response breaks off before its end. */
    void onTruncated() {
        finish(Metrics.Outcome.ERROR);
    }

    private void finish(Metrics.Outcome ending) {
        if (finished) {
            return;
        }
        finished = true;
        if (countedInFlight) {
            metrics.onRequestEnded();
        }
        if (ending != null && isCounted()) {
            metrics.onResponse(requestClass, ending);
        }
    }

    private boolean isCounted() {
        return requestClass != RequestHeadMapper.UNKNOWN_CLASS;
    }

    private static Metrics.Outcome ending(HttpResponseStatus status) {
        if (status.equals(HttpResponseStatus.OK)) {
            return Metrics.Outcome.SUCCESS;
        }
        boolean overload = status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS);
        return overload ? Metrics.Outcome.OVERLOAD : Metrics.Outcome.ERROR;
    }

    /** Returns the id of a request that is still in progress at the dispatcher, else null. */
    String openRequestId() {
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

    /** Returns the response, or null where there is none yet. */
    HttpResponse response() {
        return response;
    }

    /** Returns the body that follows the response's head, or null where the response is whole. */
    BodyPipe body() {
        return body;
    }

    @Override
    public void served(UpstreamResponse upstream) {
        FullHttpResponse success = fullResponse(HttpResponseStatus.OK, Unpooled.wrappedBuffer(upstream.body()));
        copyContentType(upstream, success);
        respond(success);
    }

    @Override
    public void streamStarted(UpstreamResponse upstreamHead, BodyPipe rest) {
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
    public void rejectedByEndpoint(UpstreamResponse upstream) {
        respondAndStopReading(new RequestError(HttpResponseStatus.valueOf(upstream.status()), "turned away"));
    }

    @Override
    public void rejected(double retryAfterMs) {
        FullHttpResponse rejection = fullResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, line("refused"));
        if (retryAfterMs > 0) {
            rejection.headers().set(HttpHeaderNames.RETRY_AFTER, seconds(retryAfterMs));
        }
        respond(rejection);
    }

    private static String seconds(double ms) {
        return BigDecimal.valueOf(Math.round(ms), RETRY_AFTER_DIGITS).toPlainString();
    }

    @Override
    public void failed() {
        respond(HttpResponseStatus.BAD_GATEWAY, "failed");
    }

    /** Responds with a line of text. */
    void respond(HttpResponseStatus status, String text) {
        respond(fullResponse(status, line(text)));
    }

    /** Responds with an error. The response is the last one, and nothing more is read from the client. */
    void respondAndStopReading(RequestError error) {
        keepAlive = false;
        connection.discardInput();
        respond(error.status(), error.reason());
    }

    private void respond(HttpResponse ready) {
        response = ready;
        connection.onResponseReady();
    }

    private static ByteBuf line(String text) {
        return Unpooled.wrappedBuffer((text + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static FullHttpResponse fullResponse(HttpResponseStatus status, ByteBuf content) {
        FullHttpResponse full = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        full.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        return full;
    }
}
