package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.streaming.BodyPipe;
import lemonrail.streaming.BufferBudget;

/**
 * Reads the responses on a connection to an endpoint, one at a time. A small response is buffered, and reported after
 * everything that arrived with it has been read, so that surplus bytes are never taken for the next response. A
 * successful response that is large, or slow and chunked, is streamed; of another such response only the head is
 * reported. A response with neither a length nor chunks is complete when the endpoint has closed the connection; after
 * a reset it is not. Confined to the connection's event loop.
 */
final class ResponseReader extends ChannelInboundHandlerAdapter {

    /** The maximum size of a request or response body that is buffered completely. */
    static final int MAX_BUFFERED_BYTES = 64 * 1024;
    /** The maximum size of a request or response body. */
    static final long MAX_BODY_BYTES = 32 * 1024 * 1024;

    private static final int MAX_INTERIM_RESPONSES = 16;
    /** The time after which a response of unknown length is streamed if it is not complete. */
    private static final int MAX_BUFFERING_MS = 500;

    /** Receives the responses. */
    interface Listener {
        /**
         * Called when a response is complete.
         *
         * @param reusable whether nothing has arrived after the response, so that the connection can be reused
         */
        void onResponse(UpstreamResponse response, boolean reusable);

        /** Called when a streamed response has started to arrive; returns the pipe that takes its body. */
        BodyPipe onStreamStarted(UpstreamResponse head);

        /**
         * Called when a streamed response is complete.
         *
         * @param reusable whether nothing has arrived after the response, so that the connection can be reused
         */
        void onStreamCompleted(boolean reusable);

        /** Called when malformed or unexpected input has arrived, so that the connection cannot be used any more. */
        void onMalformedResponse();
    }

    private enum State {
        /** No response is expected; any input is treated as malformed. */
        NOT_EXPECTED,
        /** A response is expected or being read. */
        EXPECTED,
        /** A complete response has been read. It is reported after all input that has arrived has been read. */
        COMPLETE,
        /** Malformed or unexpected input has arrived; all further input is ignored. */
        MALFORMED
    }

    private final Listener listener;
    private final BufferBudget budget;
    private final EndpointResponseDecoder decoder = new EndpointResponseDecoder();
    private State state = State.NOT_EXPECTED;
    /** The head of the response being read, or null. */
    private HttpResponse head;
    /** The buffered part of the body, or null. */
    private ByteBuf body;
    /** The complete response, or null if it was streamed. */
    private UpstreamResponse response;
    /** The pipe that takes the body of a streamed response, or null. */
    private BodyPipe pipe;

    private long streamedBytes;
    private int interimResponses;
    /** The timer after which a response of unknown length is streamed, or null. */
    private Future<?> bufferingTimeout;
    /** Whether the endpoint has closed the connection, so that all of its bytes have been read. */
    private boolean inputEnded;
    /** Whether the connection cannot be reused after this response. */
    private boolean notReusable;

    ResponseReader(BufferBudget budget, Listener listener) {
        this.budget = budget;
        this.listener = listener;
    }

    /** Adds the decoder and this reader to a pipeline. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new UnexpectedInputFilter(), decoder, this);
    }

    /**
     * Notes that a response may arrive, because a request has been written, or enough of it that the endpoint may
     * reject it.
     */
    void expectResponse() {
        if (state == State.NOT_EXPECTED) {
            state = State.EXPECTED;
        }
    }

    /** Keeps unexpected bytes away from the decoder, which would otherwise buffer an incomplete line. */
    private final class UnexpectedInputFilter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (state == State.EXPECTED) {
                ctx.fireChannelRead(bytes);
                return;
            }
            ReferenceCountUtil.release(bytes);
            if (state == State.COMPLETE) {
                notReusable = true;
            } else {
                failMalformed();
            }
        }

        /** Notes the end of the input before the decoder does, which then ends a response without a length. */
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            inputEnded |= event instanceof ChannelInputShutdownEvent;
            ctx.fireUserEventTriggered(event);
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
        cancelBufferingTimeout();
    }

    private void releaseBody() {
        if (body != null) {
            budget.release(body.readableBytes());
            body.release();
            body = null;
        }
    }

    private void cancelBufferingTimeout() {
        if (bufferingTimeout != null) {
            bufferingTimeout.cancel(false);
            bufferingTimeout = null;
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (state == State.COMPLETE) {
                notReusable = true;
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
        if (ResponseHeads.endsWithConnection(started)) {
            notReusable = true;
            if (!isSuccess(started)) {
                streamOrReportHead();
            }
        } else if (!HttpUtil.isContentLengthSet(started)) {
            bufferingTimeout =
                    ctx.executor().schedule(this::streamOrReportHead, MAX_BUFFERING_MS, TimeUnit.MILLISECONDS);
        } else if (HttpUtil.getContentLength(started) > MAX_BUFFERED_BYTES) {
            streamOrReportHead();
        }
    }

    private boolean isAcceptable(HttpResponse started) {
        if (!ResponseHeads.isInterim(started)) {
            return ResponseHeads.isAcceptableFinal(started);
        }
        interimResponses++;
        return ResponseHeads.isAcceptableInterim(started) && interimResponses <= MAX_INTERIM_RESPONSES;
    }

    /**
     * Starts to stream a response that is too large or too slow to be buffered. For an unsuccessful response, only the
     * head is needed, so it is reported without its body.
     */
    private void streamOrReportHead() {
        cancelBufferingTimeout();
        if (isSuccess(head)) {
            pipe = listener.onStreamStarted(ResponseHeads.toResponse(head, new byte[0]));
            stream(body);
            pipe.flush();
            releaseBody();
        } else {
            notReusable = true;
            response = ResponseHeads.toResponse(head, new byte[0]);
            state = State.COMPLETE;
            discardResponse();
            reportIfComplete();
        }
    }

    private static boolean isSuccess(HttpResponse started) {
        return started.status().code() == HttpResponseStatus.OK.code();
    }

    /** Returns whether the decoder ends a body because the connection has failed or has been closed by the sidecar. */
    private boolean isTruncated(HttpContent content) {
        return content instanceof LastHttpContent && ResponseHeads.endsWithConnection(head) && !inputEnded;
    }

    private void readContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            failMalformed();
            return;
        }
        if (!ResponseHeads.isInterim(head) && isTruncated(content)) {
            return;
        }
        ByteBuf bytes = content.content();
        if (pipe == null && !mayBuffer(body.readableBytes() + bytes.readableBytes())) {
            if (ResponseHeads.isInterim(head)) {
                failMalformed();
                return;
            }
            streamOrReportHead();
        }
        // By now, the response may have been reported or found to be malformed.
        if (head == null) {
            return;
        }
        if (pipe != null) {
            stream(bytes);
        } else {
            budget.acquire(bytes.readableBytes());
            body.writeBytes(bytes);
        }
        if (head != null && content instanceof LastHttpContent) {
            finishResponse();
        }
    }

    /** Returns whether a body may be buffered up to this size; while memory is short, larger ones are streamed. */
    private boolean mayBuffer(int bytes) {
        return bytes <= MAX_BUFFERED_BYTES && (bytes <= BufferBudget.GUARANTEED_BYTES || budget.hasCapacity());
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
        notReusable |= !HttpUtil.isKeepAlive(head);
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
        boolean reusable = !notReusable && !decoder.hasUndecodedBytes();
        state = State.NOT_EXPECTED;
        response = null;
        pipe = null;
        streamedBytes = 0;
        notReusable = false;
        interimResponses = 0;
        if (complete != null) {
            listener.onResponse(complete, reusable);
        } else {
            listener.onStreamCompleted(reusable);
        }
    }
}
