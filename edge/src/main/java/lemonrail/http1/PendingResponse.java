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
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BodyPipe;

/** The answer that one request on a client's connection will get, and its place in the figures. */
final class PendingResponse implements ResponseSink<UpstreamResponse> {

    /** Seconds are told to the millisecond. */
    private static final int MS_DIGITS = 3;

    private final ClientConnection connection;
    private final Metrics metrics;
    private String id;
    private boolean keepAlive;
    private HttpResponse response;
    /** The body of an answer that is passed on as it comes, else null. */
    private BodyPipe body;

    private boolean ended;
    private boolean counted;
    private int requestClass = RequestHeadMapper.NO_CLASS;

    PendingResponse(ClientConnection connection, Metrics metrics) {
        this.connection = connection;
        this.metrics = metrics;
    }

    /** The class of the request, which its answer counts for. */
    void ofClass(int known) {
        requestClass = known;
    }

    /** The request has come whole: from here on it is in hand. */
    void taken() {
        if (requestClass != RequestHeadMapper.NO_CLASS && !ended && !counted) {
            counted = true;
            metrics.taken();
        }
    }

    /** The answer has been written, or nobody waits for it any more. */
    void ended(boolean written) {
        end(written ? ending(response.status()) : null);
    }

    /** The answer could not be written to its end. */
    void cut() {
        end(Metrics.Ending.ERROR);
    }

    private void end(Metrics.Ending as) {
        if (ended) {
            return;
        }
        ended = true;
        if (counted) {
            metrics.ended();
        }
        if (as != null && requestClass != RequestHeadMapper.NO_CLASS) {
            metrics.replied(requestClass, as);
        }
    }

    private static Metrics.Ending ending(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.OK)
                ? Metrics.Ending.SUCCESS
                : status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                                || status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)
                        ? Metrics.Ending.OVERLOAD
                        : Metrics.Ending.ERROR;
    }

    /** The request is in the module's hands under this id. */
    void asked(String requestId) {
        id = requestId;
    }

    /** The id of a request that the module or an endpoint is still busy with, else null. */
    String openId() {
        return response == null || (body != null && !body.isFullyRead()) ? id : null;
    }

    void keepAlive(boolean kept) {
        keepAlive = kept;
    }

    boolean isLast() {
        return !keepAlive;
    }

    /** The answer, or null where there is none yet. */
    HttpResponse response() {
        return response;
    }

    /** The body that follows the answer's head, or null where the answer is whole. */
    BodyPipe body() {
        return body;
    }

    @Override
    public void served(UpstreamResponse answer) {
        FullHttpResponse served = response(HttpResponseStatus.OK, Unpooled.wrappedBuffer(answer.body()));
        if (answer.contentType() != null) {
            served.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
        }
        answer(served);
    }

    @Override
    public void streamStarted(UpstreamResponse beginning, BodyPipe rest) {
        HttpResponse begun = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        if (beginning.length() >= 0) {
            begun.headers().set(HttpHeaderNames.CONTENT_LENGTH, beginning.length());
        } else {
            begun.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        if (beginning.contentType() != null) {
            begun.headers().set(HttpHeaderNames.CONTENT_TYPE, beginning.contentType());
        }
        body = rest;
        answer(begun);
    }

    @Override
    public void rejectedByEndpoint(UpstreamResponse answer) {
        giveUp(new RequestReader.Refusal(HttpResponseStatus.valueOf(answer.status()), "turned away"));
    }

    @Override
    public void rejected(double coolDownMs) {
        FullHttpResponse refusal = response(HttpResponseStatus.SERVICE_UNAVAILABLE, text("refused"));
        if (coolDownMs > 0) {
            refusal.headers()
                    .set(
                            HttpHeaderNames.RETRY_AFTER,
                            BigDecimal.valueOf(Math.round(coolDownMs), MS_DIGITS)
                                    .toPlainString());
        }
        answer(refusal);
    }

    @Override
    public void failed() {
        answer(response(HttpResponseStatus.BAD_GATEWAY, text("failed")));
    }

    void plain(HttpResponseStatus status, String why) {
        answer(response(status, text(why)));
    }

    /** Answers what is no request; nothing more is heard from who sends such. */
    void giveUp(RequestReader.Refusal refusal) {
        keepAlive = false;
        connection.discardInput();
        plain(refusal.status(), refusal.why());
    }

    private void answer(HttpResponse made) {
        response = made;
        connection.flush();
    }

    private static ByteBuf text(String line) {
        return Unpooled.wrappedBuffer((line + "\n").getBytes(StandardCharsets.US_ASCII));
    }

    private static FullHttpResponse response(HttpResponseStatus status, ByteBuf body) {
        FullHttpResponse made = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
        made.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return made;
    }
}
