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
import lemonrail.net.MemoryExhaustedException;
import lemonrail.streaming.BodyPipe;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;

/**
 * Assembles requests from the decoder's messages. A large request is passed on with the first part of its body, and the
 * rest follows through a pipe. For input that is malformed, too large, or ambiguous about its end, a
 * {@link RequestError} is passed on, after which no more input is processed. Confined to the connection's event loop.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

    /** User events fired when a head has been read and its body is expected. */
    enum HeadEvent {
        /** The client sends the body without waiting. */
        HEAD_READ,
        /** The client waits for 100 Continue before it sends the body. */
        CONTINUE_EXPECTED
    }

    /** The error for a client that sends too many requests without waiting for their responses. */
    static final RequestError TOO_MANY_REQUESTS =
            new RequestError(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests ahead of answers");

    private static final RequestError TIMED_OUT =
            new RequestError(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time");
    private static final RequestError BODY_TOO_LARGE =
            new RequestError(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    private static final BodyComplete BODY_COMPLETE = new BodyComplete();
    /** The error for a request that holds more memory than is left. */
    static final RequestError OUT_OF_MEMORY =
            new RequestError(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many large requests");
    /**
     * How much of a large body is read ahead while no attempt sends it, so that a disconnect behind it is noticed
     * before an attempt begins.
     */
    private static final int READ_AHEAD_BYTES = 2 * 1024 * 1024;

    private final RequestMemory memory;
    private final BufferBudget budget;
    private final Clock clock;
    private final BodyPipe.Source bodySource;
    /** The head of the request being read, or null. */
    private HttpRequest head;
    /** The buffered part of the body being read, or null. */
    private ByteBuf body;
    /** The pipe that takes the rest of a large body, or null. */
    private BodyPipe remainingBody;

    private long receivedBytes;
    private boolean stopped;

    /**
     * Creates a reader.
     *
     * @param memory what the request that is being read holds
     * @param bodySource is notified when reading a large body must stop or can resume
     */
    RequestReader(RequestMemory memory, BufferBudget budget, Clock clock, BodyPipe.Source bodySource) {
        this.memory = memory;
        this.budget = budget;
        this.clock = clock;
        this.bodySource = bodySource;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!stopped
                    && message instanceof HttpObject part
                    && part.decoderResult().isFailure()) {
                fail(ctx, toRequestError(part.decoderResult().cause()));
            }
            if (!stopped && message instanceof HttpRequest request) {
                startRequest(ctx, request);
            }
            if (!stopped && message instanceof HttpContent content) {
                readContent(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
            if (stopped) {
                // The decoder goes on, but what it has decoded is discarded.
                memory.releaseAll();
            }
        }
    }

    private static RequestError toRequestError(Throwable cause) {
        if (cause instanceof MemoryExhaustedException) {
            return OUT_OF_MEMORY;
        }
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
            body = Unpooled.buffer(0, ResponseReader.MAX_BUFFERED_BYTES);
            receivedBytes = 0;
            ctx.fireUserEventTriggered(expectation == null ? HeadEvent.HEAD_READ : HeadEvent.CONTINUE_EXPECTED);
        }
    }

    /**
     * Returns whether the headers are ambiguous about where the body ends, so that another request could be smuggled in
     * it (RFC 9112, section 11.2).
     */
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
        if (remainingBody == null && bytes > body.maxWritableBytes()) {
            startStreaming(ctx);
        }
        // The start of streaming may have stopped this reader.
        if (stopped) {
            return;
        }
        if (remainingBody != null) {
            remainingBody.write(content.content());
        } else {
            buffer(ctx, content.content());
        }
        if (!stopped && content instanceof LastHttpContent) {
            finishRequest(ctx);
        }
    }

    private void buffer(ChannelHandlerContext ctx, ByteBuf bytes) {
        int count = bytes.readableBytes();
        body.writeBytes(bytes);
        if (!memory.acquire(count)) {
            fail(ctx, OUT_OF_MEMORY);
        }
    }

    /** Passes on a request whose body is too large to be buffered; the rest of the body follows through the pipe. */
    private void startStreaming(ChannelHandlerContext ctx) {
        remainingBody = new BodyPipe(budget, clock::now, READ_AHEAD_BYTES, bodySource);
        ctx.fireChannelRead(new IncomingRequest(head, takeBody(), remainingBody));
    }

    private byte[] takeBody() {
        byte[] bytes = ByteBufUtil.getBytes(body);
        releaseBody();
        return bytes;
    }

    private void releaseBody() {
        memory.releaseAll();
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void finishRequest(ChannelHandlerContext ctx) {
        // After a request that announces the close of the connection, no other request is read.
        stopped = !HttpUtil.isKeepAlive(head);
        HttpRequest finished = head;
        BodyPipe streamed = remainingBody;
        head = null;
        remainingBody = null;
        memory.releaseAll();
        if (streamed == null) {
            ctx.fireChannelRead(new IncomingRequest(finished, takeBody(), null));
        } else {
            ctx.fireChannelRead(BODY_COMPLETE);
            streamed.complete();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (remainingBody != null) {
            remainingBody.flush();
        }
        ctx.fireChannelReadComplete();
    }

    /** Ignores all further input. A body that is being streamed fails. */
    void stop() {
        stopped = true;
        releaseBody();
        head = null;
        if (remainingBody != null) {
            BodyPipe truncated = remainingBody;
            remainingBody = null;
            truncated.fail();
        }
    }

    private void fail(ChannelHandlerContext ctx, RequestError error) {
        stopped = true;
        // The error is passed on before the body fails, so that the failure is not attributed to the endpoint.
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
