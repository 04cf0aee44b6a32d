package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import lemonrail.streaming.BodyPipe;

/**
 * Writes a body from a pipe to a channel as fast as the peer takes it, after the message's head has been
 * written. Confined to the channel's event loop.
 */
public final class PipeWriter implements BodyPipe.Consumer {

    /** Notified of how the body ends: exactly one method is called, once, unless the writer is stopped before. */
    public interface Listener {
        /** The last byte has been handed to the channel; the future completes when it is written. */
        void onBodyWritten(ChannelFuture lastPart);

        /** The body ends before it is whole. */
        void onBodyBroken();
    }

    private enum State {
        /** Waiting for bytes, or for the channel to take more. */
        WAITING,
        /** Writing pieces. */
        WRITING,
        /** Writing pieces, and called to write meanwhile. */
        CALLED_WHILE_WRITING,
        /** The body has ended or the writer was stopped. */
        FINISHED
    }

    private final Channel channel;
    private final BodyPipe pipe;
    private final Listener listener;
    private State state = State.WAITING;

    /** Creates a writer to this channel; {@link BodyPipe#setConsumer} starts it. */
    public PipeWriter(Channel channel, BodyPipe pipe, Listener listener) {
        this.channel = channel;
        this.pipe = pipe;
        this.listener = listener;
    }

    /**
     * Writes what the pipe holds. Also to be called when the channel has become writable again. A chunk goes
     * out in several writes, and the channel may report in between that its writability has changed: bytes
     * written then would stand within the chunk, so such a call only makes the one under way look again.
     */
    @Override
    public void onProgress() {
        if (state == State.WRITING || state == State.CALLED_WHILE_WRITING) {
            state = State.CALLED_WHILE_WRITING;
            return;
        }
        if (state == State.FINISHED) {
            return;
        }
        do {
            state = State.WRITING;
            writePieces();
        } while (state == State.CALLED_WHILE_WRITING);
        if (state != State.FINISHED) {
            state = State.WAITING;
            finishIfEnded();
        }
    }

    private void writePieces() {
        boolean wrote = false;
        while (state != State.FINISHED && channel.isWritable()) {
            ByteBuf piece = pipe.poll();
            if (piece == null) {
                break;
            }
            int bytes = piece.readableBytes();
            channel.write(new DefaultHttpContent(piece)).addListener(done -> pipe.onWritten(bytes));
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
            listener.onBodyBroken();
        }
    }

    /** Stops writing; the listener is not notified. */
    public void stop() {
        state = State.FINISHED;
    }
}
