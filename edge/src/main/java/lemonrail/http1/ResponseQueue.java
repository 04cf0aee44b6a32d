package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import lemonrail.streaming.BufferBudget;

/**
 * Writes the responses of one client connection in the order of their requests, as HTTP requires. Confined to the
 * connection's event loop.
 */
final class ResponseQueue {

    /** Receives the progress of the responses. */
    interface Listener {
        /** Returns whether the connection closes after this response, which is about to be written. */
        boolean isLast(PendingResponse response);

        /** Called when a response is about to be written. */
        void onWriting(PendingResponse response);

        /**
         * Called when the last response has been passed to the channel; the future completes when it has been written.
         */
        void onLastResponse(ChannelFuture lastPart);

        /**
         * Called when all responses that are ready have been passed to the channel, up to the first one that is not
         * ready.
         */
        void onFlushed();

        /** Called when a streamed response has been truncated, so that the connection closes. */
        void onTruncated();
    }

    private final Channel channel;
    private final BufferBudget budget;
    private final Listener listener;
    private final Deque<PendingResponse> pending = new ArrayDeque<>();
    /** The writer of the body of a streamed response, or null. */
    private PipeWriter bodyWriter;
    /** The number of responses that have been passed to the channel completely, but are not yet written. */
    private int unwrittenCount;

    private boolean flushing;
    /** Whether the last response has been passed to the channel. */
    private boolean closing;

    ResponseQueue(Channel channel, BufferBudget budget, Listener listener) {
        this.channel = channel;
        this.budget = budget;
        this.listener = listener;
    }

    void add(PendingResponse response) {
        pending.add(response);
    }

    int size() {
        return pending.size();
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    /** Returns whether this response is pending and not ready. */
    boolean isAwaited(PendingResponse response) {
        return !response.isReady() && pending.contains(response);
    }

    boolean hasUnwritten() {
        return unwrittenCount > 0;
    }

    /** Returns whether all requests have got their responses, and these have been written. */
    boolean isDrained() {
        return pending.isEmpty() && unwrittenCount == 0;
    }

    /** Returns whether the last response has been passed to the channel. */
    boolean isClosing() {
        return closing;
    }

    /** Removes and returns all pending responses. */
    List<PendingResponse> removeAll() {
        List<PendingResponse> removed = List.copyOf(pending);
        pending.clear();
        return removed;
    }

    /** Resumes writing the current body when the writability of the channel has changed. */
    void onWritabilityChanged() {
        if (bodyWriter != null) {
            bodyWriter.onProgress();
        }
    }

    /** Writes the responses that are ready. A call from within is ignored: writing may change writability. */
    void flush() {
        if (flushing) {
            return;
        }
        flushing = true;
        while (isNextReady()) {
            writeNext();
        }
        flushing = false;
        listener.onFlushed();
    }

    private boolean isNextReady() {
        return !closing
                && bodyWriter == null
                && !pending.isEmpty()
                && pending.peek().isReady();
    }

    private void writeNext() {
        PendingResponse next = pending.peek();
        boolean last = listener.isLast(next);
        listener.onWriting(next);
        if (last) {
            next.response().headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        int bytes = next.response() instanceof FullHttpResponse full
                ? full.content().readableBytes()
                : 0;
        budget.acquire(bytes);
        ChannelFuture headWritten = channel.writeAndFlush(next.response());
        headWritten.addListener(written -> budget.release(bytes));
        if (next.body() == null) {
            onPassedToChannel(next, last, headWritten);
        } else {
            bodyWriter = new PipeWriter(channel, next.body(), new BodyListener(next, last));
            next.body().setConsumer(bodyWriter);
        }
    }

    private void onPassedToChannel(PendingResponse response, boolean last, ChannelFuture lastPart) {
        pending.poll();
        unwrittenCount++;
        lastPart.addListener(written -> {
            unwrittenCount--;
            response.onWritten(written.isSuccess());
            if (written.isSuccess() && isDrained() && !closing) {
                flush();
            }
        });
        if (last) {
            close(lastPart);
        }
    }

    private void close(ChannelFuture lastPart) {
        closing = true;
        listener.onLastResponse(lastPart);
    }

    /** Handles the end of the body of a streamed response. */
    private final class BodyListener implements PipeWriter.Listener {
        private final PendingResponse response;
        private final boolean last;

        BodyListener(PendingResponse response, boolean last) {
            this.response = response;
            this.last = last;
        }

        @Override
        public void onBodyWritten(ChannelFuture lastPart) {
            bodyWriter = null;
            onPassedToChannel(response, last, lastPart);
            flush();
        }

        @Override
        public void onBodyFailed() {
            // Closing the connection before the end of the body tells the client that the body is truncated. The data
            // already passed to the channel is written first, because a chunk cut off in the middle would look
            // malformed.
            response.onTruncated();
            bodyWriter = null;
            close(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
            listener.onTruncated();
        }
    }
}
