package lemonrail.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Forwards a body from one connection to another, with backpressure: it holds a small window of bytes, and its source
 * is not read further while the consumer does not take them. Bytes count in the budget until {@link #onWritten}, so
 * those in a connection's write buffer count as well. Used on the event loop only.
 */
public final class BodyPipe {

    /** Unwritten bytes from which on the source is not read. */
    public static final int WINDOW_BYTES = 32 * 1024;

    private static final int CHUNK_BYTES = 16 * 1024;

    /** The connection that the bytes come from. */
    @FunctionalInterface
    public interface Source {
        /** Starts or stops reading; may be called repeatedly with the same value. */
        void setReading(boolean reading);
    }

    /** The connection that the bytes go to. */
    @FunctionalInterface
    public interface Consumer {
        /** Is called when there may be bytes to {@link #poll}, or the body is complete or has failed. */
        void onProgress();
    }

    private final BufferBudget budget;
    private final Source source;
    private final Runnable onCapacity = this::updateReading;
    private Consumer consumer;
    private ByteBuf pending = Unpooled.buffer();
    private int unwrittenBytes;
    private long forwardedBytes;
    private boolean read;
    private boolean complete;
    private boolean failed;
    private boolean closed;

    /** Creates a pipe without a consumer; it holds a window of bytes until it has one. */
    public BodyPipe(BufferBudget budget, Source source) {
        this.budget = budget;
        this.source = source;
    }

    /** Sets where the bytes go, and notifies it at once. */
    public void setConsumer(Consumer consumer) {
        this.consumer = consumer;
        notifyConsumer();
    }

    /** Adds a copy of the bytes, which stay with the caller. The consumer is notified by {@link #flush}. */
    public void write(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (closed || size == 0) {
            return;
        }
        pending.writeBytes(bytes, bytes.readerIndex(), size);
        unwrittenBytes += size;
        budget.acquire(size);
        updateReading();
    }

    /** Notifies the consumer of all bytes written so far, so that small pieces are forwarded together. */
    public void flush() {
        notifyConsumer();
    }

    /** Notes that the whole body has been written. */
    public void complete() {
        complete = true;
        notifyConsumer();
    }

    /** Notes that the rest of the body will not come; does nothing if it is complete. */
    public void fail() {
        if (!complete && !failed) {
            failed = true;
            notifyConsumer();
        }
    }

    private void notifyConsumer() {
        if (consumer != null && !closed) {
            consumer.onProgress();
        }
    }

    /**
     * Returns the next bytes, or null if there are none now. The caller releases the buffer, and calls
     * {@link #onWritten} with its size once it has been written.
     */
    public ByteBuf poll() {
        if (closed || !pending.isReadable()) {
            return null;
        }
        read = true;
        byte[] chunk = new byte[Math.min(CHUNK_BYTES, pending.readableBytes())];
        pending.readBytes(chunk);
        pending.discardSomeReadBytes();
        return Unpooled.wrappedBuffer(chunk);
    }

    /** Notes that bytes from {@link #poll} have been written, or never will be. */
    public void onWritten(int bytes) {
        forwardedBytes += bytes;
        int counted = Math.min(bytes, unwrittenBytes);
        unwrittenBytes -= counted;
        budget.release(counted);
        updateReading();
    }

    /** Reads the source while the window and the budget have capacity; an empty pipe may always read. */
    private void updateReading() {
        if (closed || complete) {
            return;
        }
        boolean windowOpen = unwrittenBytes < WINDOW_BYTES;
        boolean mayRead = unwrittenBytes == 0 || (windowOpen && budget.hasCapacity());
        if (!mayRead && windowOpen) {
            budget.notifyWhenAvailable(onCapacity);
        }
        source.setReading(mayRead);
    }

    /** Returns how many bytes have been written on, which shows whether the body moves. */
    public long forwardedBytes() {
        return forwardedBytes;
    }

    /** Returns whether all bytes that have come are written on, so that the pipe waits for its source. */
    public boolean isDrained() {
        return unwrittenBytes == 0;
    }

    /** Returns whether bytes have been polled, which cannot be read again. */
    public boolean hasBeenRead() {
        return read;
    }

    /** Returns whether the body is complete and all of it has been polled. */
    public boolean isFullyRead() {
        return complete && !pending.isReadable();
    }

    /** Returns whether the body ends before it is complete. */
    public boolean hasFailed() {
        return failed;
    }

    /** Returns whether the whole body has been written to the pipe. */
    public boolean isComplete() {
        return complete;
    }

    /** Discards the bytes that are held and all that still come; the source is read so that it can end. */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        pending = Unpooled.EMPTY_BUFFER;
        budget.cancelNotification(onCapacity);
        int held = unwrittenBytes;
        unwrittenBytes = 0;
        budget.release(held);
        if (!complete && !failed) {
            source.setReading(true);
        }
    }
}
