package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import lemonrail.streaming.BodyPipe;

/**
 * Writes a body from a pipe to a channel as fast as the remote side accepts it, after the head of the message has been
 * written. Confined to the channel's event loop.
 */
public final class PipeWriter implements BodyPipe.Consumer {

    /**
     * Receives the end of the body. Exactly one of the methods is called, exactly once, unless the writer is stopped
     * first.
     */
    public interface Listener {
        /**
         * Called when the last part of the body has been passed to the channel; the future completes when it has been
         * written.
         */
        void onBodyWritten(ChannelFuture lastPart);

        /** Called when the body has failed before its end. */
        void onBodyFailed();
    }

    private enum State {
        /** Waiting for bytes, or for the channel to become writable. */
        WAITING,
        /** Writing the available parts. */
        WRITING,
        /** Writing the available parts; {@link #onProgress} has been called again in the meantime. */
        CALLED_AGAIN,
        /** The body has ended, or the writer has been stopped. */
        FINISHED
    }

    private final Channel channel;
    private final BodyPipe pipe;
    private final Listener listener;
    private State state = State.WAITING;

    /** Creates a writer to a channel. It starts when it is passed to {@link BodyPipe#setConsumer}. */
    public PipeWriter(Channel channel, BodyPipe pipe, Listener listener) {
        this.channel = channel;
        this.pipe = pipe;
        this.listener = listener;
    }

    /**
     * Writes the bytes that are in the pipe. Must also be called when the channel has become writable again. The
     * encoder writes a chunk in several steps, and the channel may report a change of its writability between them.
     * Bytes written by such a nested call would end up inside the chunk, so the nested call only makes the outer call
     * check for bytes again.
     */
    @Override
    public void onProgress() {
        if (state == State.WRITING || state == State.CALLED_AGAIN) {
            state = State.CALLED_AGAIN;
            return;
        }
        if (state == State.FINISHED) {
            return;
        }
        do {
            state = State.WRITING;
            writeAvailableParts();
        } while (state == State.CALLED_AGAIN);
        if (state != State.FINISHED) {
            state = State.WAITING;
            finishIfEnded();
        }
    }

    private void writeAvailableParts() {
        boolean wrote = false;
        while (state != State.FINISHED && channel.isWritable()) {
            ByteBuf part = pipe.poll();
            if (part == null) {
                break;
            }
            int bytes = part.readableBytes();
            channel.write(new DefaultHttpContent(part)).addListener(done -> pipe.onWritten(bytes));
            wrote = true;
        }
        if (wrote) {
            channel.flush();
        }
    }

    private void finishIfEnded() {
        if (pipe.isFullyRead()) {
            state = State.FINISHED;
            listener.onBodyWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        } else if (pipe.hasFailed()) {
            state = State.FINISHED;
            listener.onBodyFailed();
        }
    }

    /** Stops writing without notifying the listener. */
    public void stop() {
        state = State.FINISHED;
    }
}
