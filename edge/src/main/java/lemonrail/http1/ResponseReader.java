package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.streaming.BodyPipe;

/**
 * Reads the responses on a connection to an endpoint, one at a time. A small response is held and reported once
 * everything that arrived with it has been read, so that stray bytes are never taken for the next response. A
 * large or slow one is streamed. Confined to the connection's event loop.
 */
final class ResponseReader extends ChannelInboundHandlerAdapter {

    /** The largest body that is held whole, in requests and responses. */
    static final int MAX_HELD_BYTES = 64 * 1024;
    /** The largest body that is forwarded, in requests and responses. */
    static final long MAX_BODY_BYTES = 32 * 1024 * 1024;

    private static final int MAX_INTERIM_RESPONSES = 16;
    /** A response of unknown length that takes longer than this is streamed. */
    private static final int MAX_HOLD_MS = 500;

    /** Notified of responses. */
    interface Listener {
        /** A response is whole; {@code reusable} unless more than the response has arrived. */
        void onResponse(UpstreamResponse response, boolean reusable);

        /** A response has begun that is streamed; returns the pipe that takes its body. */
        BodyPipe onStreamStarted(UpstreamResponse head);

        /** A streamed response is whole; {@code reusable} unless more than the response has arrived. */
        void onStreamCompleted(boolean reusable);

        /** What has arrived is no response, or was not expected: the connection cannot be used any more. */
        void onMalformedResponse();
    }

    private enum State {
        /** No request awaits a response: whatever arrives is malformed. */
        NOT_EXPECTED,
        /** A response is awaited or being read. */
        EXPECTED,
        /** A response is whole; it is reported once all that has arrived is read. */
        COMPLETE,
        /** Something else than a response has arrived; all that follows is ignored. */
        MALFORMED
    }

    private final Listener listener;
    private final EndpointResponseDecoder decoder = new EndpointResponseDecoder();
    private State state = State.NOT_EXPECTED;
    /** The head of the response being read, or null. */
    private HttpResponse head;
    /** What is held of its body, or null. */
    private ByteBuf body;
    /** The response that is whole, or null where it was streamed. */
    private UpstreamResponse response;
    /** Takes the body of a streamed response, or null. */
    private BodyPipe pipe;

    private long streamedBytes;
    private int interimResponses;
    /** Ends the time for which a response of unknown length is held, or null. */
    private Future<?> holdTimeout;
    /** Whether the connection cannot be used after this response. */
    private boolean unusableAfter;

    ResponseReader(Listener listener) {
        this.listener = listener;
    }

    /** Adds the decoder and this reader to a pipeline. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new UnexpectedInputFilter(), decoder, this);
    }

    /** Notes that what arrives may be a response: a request is written, or enough of one to be rejected by. */
    void expectResponse() {
        if (state == State.NOT_EXPECTED) {
            state = State.EXPECTED;
        }
    }

    /** Keeps unexpected bytes from the decoder, which would hold on to a part of a line. */
    private final class UnexpectedInputFilter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (state == State.EXPECTED) {
                ctx.fireChannelRead(bytes);
                return;
            }
            ReferenceCountUtil.release(bytes);
            if (state == State.COMPLETE) {
                unusableAfter = true;
            } else {
                failMalformed();
            }
        }
    }

    private void failMalformed() {
        discardResponse();
        if (state != State.MALFORMED) {
            state = State.MALFORMED;
            listener.onMalformedResponse();
        }
    }

    private void discardResponse() {
        releaseBody();
        head = null;
        cancelHoldTimeout();
    }

    private void releaseBody() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    private void cancelHoldTimeout() {
        if (holdTimeout != null) {
            holdTimeout.cancel(false);
            holdTimeout = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (state == State.COMPLETE) {
                unusableAfter = true;
            } else if (state != State.MALFORMED) {
                read(ctx, message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpResponse started) {
            startResponse(ctx, started);
        }
        if (head != null && message instanceof HttpContent content) {
            readContent(content);
        }
    }

    private void startResponse(ChannelHandlerContext ctx, HttpResponse started) {
        if (started.decoderResult().isFailure() || !isAcceptable(started)) {
            failMalformed();
            return;
        }
        discardResponse();
        head = started;
        body = Unpooled.buffer();
        if (ResponseHeads.isInterim(started)) {
            return;
        }
        if (!HttpUtil.isContentLengthSet(started)) {
            holdTimeout = ctx.executor().schedule(this::stopHolding, MAX_HOLD_MS, TimeUnit.MILLISECONDS);
        } else if (HttpUtil.getContentLength(started) > MAX_HELD_BYTES) {
            stopHolding();
        }
    }

    private boolean isAcceptable(HttpResponse started) {
        if (!ResponseHeads.isInterim(started)) {
            return ResponseHeads.isAcceptableFinal(started);
        }
        interimResponses++;
        return ResponseHeads.isAcceptableInterim(started) && interimResponses <= MAX_INTERIM_RESPONSES;
    }

    /** Streams a response that is too large or too slow to be held. Of an unsuccessful one, the head is enough. */
    private void stopHolding() {
        cancelHoldTimeout();
        if (head.status().code() == HttpResponseStatus.OK.code()) {
            pipe = listener.onStreamStarted(ResponseHeads.toResponse(head, new byte[0]));
            stream(body);
            pipe.flush();
            releaseBody();
        } else {
            unusableAfter = true;
            response = ResponseHeads.toResponse(head, new byte[0]);
            state = State.COMPLETE;
            discardResponse();
            reportIfComplete();
        }
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            failMalformed();
            return;
        }
        ByteBuf bytes = content.content();
        if (pipe == null && body.readableBytes() + bytes.readableBytes() > MAX_HELD_BYTES) {
            if (ResponseHeads.isInterim(head)) {
                failMalformed();
                return;
            }
            stopHolding();
        }
        // The response may have been reported, or be malformed, by now.
        if (head == null) {
            return;
        }
        if (pipe != null) {
            stream(bytes);
        } else {
            body.writeBytes(bytes);
        }
        if (head != null && content instanceof LastHttpContent) {
            finishResponse();
        }
    }

    private void stream(ByteBuf bytes) {
        streamedBytes += bytes.readableBytes();
        if (streamedBytes > MAX_BODY_BYTES) {
            failMalformed();
        } else {
            pipe.write(bytes);
        }
    }

    private void finishResponse() {
        if (pipe != null) {
            finishStream();
            return;
        }
        if (!ResponseHeads.isInterim(head)) {
            response = ResponseHeads.toResponse(head, ByteBufUtil.getBytes(body));
            state = State.COMPLETE;
        }
        discardResponse();
    }

    private void finishStream() {
        state = State.COMPLETE;
        unusableAfter |= !HttpUtil.isKeepAlive(head);
        discardResponse();
        pipe.complete();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (pipe != null) {
            pipe.flush();
        }
        reportIfComplete();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        reportIfComplete();
        discardResponse();
        ctx.fireChannelInactive();
    }

    private void reportIfComplete() {
        if (state != State.COMPLETE) {
            return;
        }
        UpstreamResponse complete = response;
        boolean reusable = !unusableAfter && !decoder.holdsBytes();
        state = State.NOT_EXPECTED;
        response = null;
        pipe = null;
        streamedBytes = 0;
        unusableAfter = false;
        interimResponses = 0;
        if (complete != null) {
            listener.onResponse(complete, reusable);
        } else {
            listener.onStreamCompleted(reusable);
        }
    }
}
