package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import lemonrail.http1.ClientMessage.BodyComplete;
import lemonrail.http1.ClientMessage.IncomingRequest;
import lemonrail.http1.ClientMessage.RequestError;
import lemonrail.streaming.BodyPipe;
import lemonrail.streaming.BufferBudget;

/**
 * Assembles requests from what the decoder has read: whole ones, or large ones whose rest follows through a pipe.
 * Input that is malformed, too large, or ambiguous about where it ends becomes a {@link RequestError}, after which
 * nothing more is read. Confined to the connection's event loop.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

    /** User events fired when a head has been read and its body is still to come. */
    enum HeadEvent {
        /** The body follows by itself. */
        HEAD_READ,
        /** The client waits for 100 Continue before it sends the body. */
        CONTINUE_EXPECTED
    }

    /** Sent to a client that sends more requests ahead of their responses than are read. */
    static final RequestError TOO_MANY_REQUESTS =
            new RequestError(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests ahead of answers");

    private static final RequestError TIMED_OUT =
            new RequestError(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
    private static final RequestError BODY_TOO_LARGE =
            new RequestError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    private static final BodyComplete BODY_COMPLETE = new BodyComplete();
    /** Bodies up to this size are read even when the buffer budget is exhausted. */
    private static final int ALWAYS_HELD_BYTES = 8 * 1024;

    private final BufferBudget budget;
    private final BodyPipe.Source bodySource;
    /** The head of the request being read, or null. */
    private HttpRequest head;
    /** What is held of its body, or null. */
    private ByteBuf body;
    /** Takes the rest of a large body, or null. */
    private BodyPipe rest;

    private long receivedBytes;
    private boolean stopped;

    /**
     * Creates a reader.
     *
     * @param bodySource told when large bodies are to be read on, and when not
     */
    RequestReader(BufferBudget budget, BodyPipe.Source bodySource) {
        this.budget = budget;
        this.bodySource = bodySource;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!stopped
                    && message instanceof HttpObject part
                    && part.decoderResult().isFailure()) {
                fail(ctx, malformed(part.decoderResult().cause()));
            }
            if (!stopped && message instanceof HttpRequest request) {
                startRequest(ctx, request);
            }
            if (!stopped && message instanceof HttpContent content) {
                readContent(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static RequestError malformed(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                ? new RequestError(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
                : new RequestError(HttpResponseStatus.BAD_REQUEST, "malformed request");
    }

    private void startRequest(ChannelHandlerContext ctx, HttpRequest request) {
        String expectation = request.headers().get(HttpHeaderNames.EXPECT);
        if (isFramingAmbiguous(request.headers())) {
            fail(ctx, new RequestError(HttpResponseStatus.BAD_REQUEST, "ambiguous framing"));
        } else if (HttpUtil.getContentLength(request, 0L) > ResponseReader.MAX_BODY_BYTES) {
            fail(ctx, BODY_TOO_LARGE);
        } else if (expectation != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expectation)) {
            fail(ctx, new RequestError(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation"));
        } else {
            head = request;
            body = Unpooled.buffer(0, ResponseReader.MAX_HELD_BYTES);
            receivedBytes = 0;
            ctx.fireUserEventTriggered(expectation == null ? HeadEvent.HEAD_READ : HeadEvent.CONTINUE_EXPECTED);
        }
    }

    /** Where the end of a body is ambiguous, another request may be smuggled in it (RFC 9112, section 11.2). */
    private static boolean isFramingAmbiguous(HttpHeaders headers) {
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return false;
        }
        return codings.size() > 1
                || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
    }

    private void readContent(ChannelHandlerContext ctx, HttpContent content) {
        int bytes = content.content().readableBytes();
        receivedBytes += bytes;
        if (receivedBytes > ResponseReader.MAX_BODY_BYTES) {
            fail(ctx, BODY_TOO_LARGE);
            return;
        }
        if (rest == null && bytes > body.maxWritableBytes()) {
            startStreaming(ctx);
        }
        // What streaming led to may have stopped the reader.
        if (stopped) {
            return;
        }
        if (rest != null) {
            rest.write(content.content());
        } else {
            hold(ctx, content.content());
        }
        if (!stopped && content instanceof LastHttpContent) {
            finishRequest(ctx);
        }
    }

    private void hold(ChannelHandlerContext ctx, ByteBuf bytes) {
        int count = bytes.readableBytes();
        body.writeBytes(bytes);
        budget.acquire(count);
        if (body.readableBytes() > ALWAYS_HELD_BYTES && !budget.hasCapacity()) {
            fail(ctx, new RequestError(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many large bodies"));
        }
    }

    /** Passes on a request whose body is larger than what is held; the rest follows. */
    private void startStreaming(ChannelHandlerContext ctx) {
        rest = new BodyPipe(budget, bodySource);
        ctx.fireChannelRead(new IncomingRequest(head, takeBody(), rest));
    }

    private byte[] takeBody() {
        byte[] bytes = ByteBufUtil.getBytes(body);
        releaseBody();
        return bytes;
    }

    private void releaseBody() {
        if (body != null) {
            budget.release(body.readableBytes());
            body.release();
            body = null;
        }
    }

    private void finishRequest(ChannelHandlerContext ctx) {
        // No request is read after one that announces the connection's close.
        stopped = !HttpUtil.isKeepAlive(head);
        HttpRequest finished = head;
        BodyPipe streamed = rest;
        head = null;
        rest = null;
        if (streamed == null) {
            ctx.fireChannelRead(new IncomingRequest(finished, takeBody(), null));
        } else {
            ctx.fireChannelRead(BODY_COMPLETE);
            streamed.complete();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (rest != null) {
            rest.flush();
        }
        ctx.fireChannelReadComplete();
    }

    /** Ignores all further input. The rest of a body that is being streamed fails. */
    void stop() {
        stopped = true;
        releaseBody();
        head = null;
        if (rest != null) {
            BodyPipe truncated = rest;
            rest = null;
            truncated.fail();
        }
    }

    private void fail(ChannelHandlerContext ctx, RequestError error) {
        stopped = true;
        // Passed on before the body fails, so that the failure is not blamed on the endpoint.
        ctx.fireChannelRead(error);
        stop();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof ClientTimeoutHandler.InputEvent inputEvent)) {
            ctx.fireUserEventTriggered(event);
        } else if (!stopped) {
            fail(ctx, inputEvent == ClientTimeoutHandler.InputEvent.TOO_MUCH_INPUT ? TOO_MANY_REQUESTS : TIMED_OUT);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ctx.fireChannelInactive();
        stop();
    }
}
