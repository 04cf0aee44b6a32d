package lemonrail.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A body on its way from one connection to another. It holds a small window of bytes: where the far side does
 * not take them, the near side is not read any further. Its bytes count in the budget until they are written
 * on, so what waits in a connection's own buffers counts as well.
 */
public final class BodyPipe {

    /** Bytes that may wait before the near side stops being read. */
    public static final int WINDOW_BYTES = 32 * 1024;
    /** Bytes that are passed on at a time. */
    private static final int PIECE_BYTES = 16 * 1024;

    /** The connection that the bytes come from. */
    public interface Source {
        /** Whether it is to be read. */
        void setReading(boolean on);
    }

    /** The connection that the bytes go to. */
    public interface Consumer {
        /** There is more to take, or there will be none: {@link #isFullyRead} and {@link #hasFailed} say which. */
        void onProgress();
    }

    private final BufferBudget budget;
    private final Source near;
    private final Runnable wake = this::mindReading;
    private ByteBuf waiting = Unpooled.buffer();
    private Consumer far;
    private int unwritten;
    private long forwardedBytes;
    private boolean touched;
    private boolean ended;
    private boolean broken;
    private boolean closed;

    /** A pipe from this connection. */
    public BodyPipe(BufferBudget budget, Source near) {
        this.budget = budget;
        this.near = near;
    }

    /** Where the bytes go; it hears at once of what is there already. */
    public void setConsumer(Consumer taker) {
        far = taker;
        tell();
    }

    /** Takes in a copy of these bytes; {@link #flush} has them passed on. */
    public void write(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (closed || size == 0) {
            return;
        }
        waiting.writeBytes(bytes, bytes.readerIndex(), size);
        unwritten += size;
        budget.acquire(size);
        mindReading();
    }

    /** Passes on what has been written so far: many small pieces then go in one. */
    public void flush() {
        tell();
    }

    /** All has come. */
    public void complete() {
        ended = true;
        tell();
    }

    /** No more will come, though there should. */
    public void fail() {
        if (!ended && !broken) {
            broken = true;
            tell();
        }
    }

    private void tell() {
        if (far != null && !closed) {
            far.onProgress();
        }
    }

    /** The next bytes to pass on, or null where there are none now. */
    public ByteBuf poll() {
        if (closed || !waiting.isReadable()) {
            return null;
        }
        touched = true;
        byte[] piece = new byte[Math.min(PIECE_BYTES, waiting.readableBytes())];
        waiting.readBytes(piece);
        waiting.discardSomeReadBytes();
        return Unpooled.wrappedBuffer(piece);
    }

    /** So many bytes that {@link #poll} gave have been written, or never will be. */
    public void onWritten(int bytes) {
        forwardedBytes += bytes;
        int counted = Math.min(bytes, unwritten);
        unwritten -= counted;
        budget.release(counted);
        mindReading();
    }

    private void mindReading() {
        if (closed || ended) {
            return;
        }
        boolean room = unwritten == 0 || (unwritten < WINDOW_BYTES && budget.hasCapacity());
        if (!room && unwritten < WINDOW_BYTES) {
            budget.notifyWhenAvailable(wake);
        }
        near.setReading(room);
    }

    /** The bytes written on so far, which tells whether anything moves. */
    public long forwardedBytes() {
        return forwardedBytes;
    }

    /** Whether it waits for the near side: all that has come is written on. */
    public boolean isDrained() {
        return unwritten == 0;
    }

    /** Whether bytes have been let go, which cannot be had again. */
    public boolean hasBeenRead() {
        return touched;
    }

    /** Whether all has come and been taken. */
    public boolean isFullyRead() {
        return ended && !waiting.isReadable();
    }

    /** Whether it ends here without being whole. */
    public boolean hasFailed() {
        return broken;
    }

    /** Whether all has come. */
    public boolean isComplete() {
        return ended;
    }

    /** Nobody takes any more: what waits is dropped and so is what still comes. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        waiting = Unpooled.EMPTY_BUFFER;
        budget.cancelNotification(wake);
        int left = unwritten;
        unwritten = 0;
        budget.release(left);
        if (!ended && !broken) {
            near.setReading(true);
        }
    }
}
