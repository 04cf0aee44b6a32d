package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Writes the responses of one client's connection, in the order of their requests as HTTP demands. Confined to
 * the connection's event loop.
 */
final class ResponseQueue {

    /** Notified of what is written. */
    interface Listener {
        /** Returns whether the connection closes after this response, which is about to be written. */
        boolean isLast(PendingResponse response);

        /** A response is about to be written. */
        void onWriting(PendingResponse response);

        /** The last response has been handed to the channel; the future completes when it is written. */
        void onLastResponse(ChannelFuture lastPart);

        /** All responses that are ready have been handed to the channel, as far as none before them is missing. */
        void onFlushed();

        /** A streamed response has broken off, and the connection closes. */
        void onTruncated();
    }

    private final Channel channel;
    private final Listener listener;
    private final Deque<PendingResponse> pending = new ArrayDeque<>();
    /** Writes the body of a streamed response, or null. */
    private PipeWriter bodyWriter;
    /** Responses handed to the channel whole that it has not written yet. */
    private int unwritten;

    private boolean flushing;
    /** Whether the last response has been handed to the channel. */
    private boolean closing;

    ResponseQueue(Channel channel, Listener listener) {
        this.channel = channel;
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

    boolean hasUnwritten() {
        return unwritten > 0;
    }

    /** Returns whether every request has been responded to, and the responses are written. */
    boolean isDrained() {
        return pending.isEmpty() && unwritten == 0;
    }

    /** Returns whether the last response has been handed to the channel, and none follows. */
    boolean isClosing() {
        return closing;
    }

    /** Removes the responses that are left, and returns them. */
    List<PendingResponse> removeAll() {
        List<PendingResponse> removed = List.copyOf(pending);
        pending.clear();
        return removed;
    }

    /** Resumes the body being written, as the channel's writability has changed. */
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
        ChannelFuture headWritten = channel.writeAndFlush(next.response());
        if (next.body() == null) {
            onHandedOver(next, last, headWritten);
        } else {
            bodyWriter = new PipeWriter(channel, next.body(), new BodyListener(next, last));
            next.body().setConsumer(bodyWriter);
        }
    }

    private void onHandedOver(PendingResponse response, boolean last, ChannelFuture lastPart) {
        pending.poll();
        unwritten++;
        lastPart.addListener(written -> {
            unwritten--;
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

    /** Follows the body of a streamed response. */
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
            onHandedOver(response, last, lastPart);
            flush();
        }

        @Override
        public void onBodyBroken() {
            // Closing before the end tells the client that the body is not whole. What has been handed to the
            // channel goes out first: a chunk cut in the middle would look like a malformed one.
            response.onTruncated();
            bodyWriter = null;
            close(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
            listener.onTruncated();
        }
    }
}
