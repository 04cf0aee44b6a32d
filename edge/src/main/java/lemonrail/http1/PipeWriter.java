package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import lemonrail.streaming.BodyPipe;

/** Writes a body to a connection as fast as its far end takes it; the message's head has been written. */
public final class PipeWriter implements BodyPipe.Consumer {

    /** What becomes of the body; exactly one is called, once, unless the writer is stopped before. */
    public interface Ending {
        /** The last byte has been handed to the connection; the future tells when it is written. */
        void whole(ChannelFuture written);

        /** The body ends here without being whole. */
        void cut();
    }

    private final Channel channel;
    private final BodyPipe pipe;
    private final Ending ending;
    private boolean over;
    /** It is writing, and was called upon meanwhile. */
    private boolean writing;

    private boolean again;

    /** A writer to this channel; {@link BodyPipe#setConsumer} starts it. */
    public PipeWriter(Channel channel, BodyPipe pipe, Ending ending) {
        this.channel = channel;
        this.pipe = pipe;
        this.ending = ending;
    }

    /**
     * Also to be called when the channel has become writable again. A chunk goes out in several writes, and
     * the channel may tell in the midst of them that it is full: what is written then would stand within the
     * chunk, so such a call only has the one that is under way look again.
     */
    @Override
    public void onProgress() {
        if (writing) {
            again = true;
            return;
        }
        writing = true;
        do {
            again = false;
            writePieces();
        } while (again && !over);
        writing = false;
        if (over) {
            return;
        }
        if (pipe.isFullyRead()) {
            over = true;
            ending.whole(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        } else if (pipe.hasFailed()) {
            over = true;
            ending.cut();
        }
    }

    private void writePieces() {
        boolean wrote = false;
        while (!over && channel.isWritable()) {
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

    /** Writes no more, and says nothing of it. */
    public void stop() {
        over = true;
    }
}
