package lemonrail.streaming;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/**
 * Forwards a body from one connection to another, with backpressure: it buffers a small window of bytes, and stops
 * reading its source while the window is full or the shared {@link BufferBudget} is used up, unless the pipe holds no
 * bytes. Until the pipe has a consumer, the window can be larger, because the disconnect of a source is detected only
 * behind the bytes that precede it. Bytes count towards the budget until {@link #onWritten} is called for them, so
 * those in a connection's write buffer count as well. Used on the event loop only.
 */
public final class BodyPipe {

    /** The number of unwritten bytes at which the source is no longer read. */
    public static final int WINDOW_BYTES = 32 * 1024;

    private static final int CHUNK_BYTES = 16 * 1024;

    /** The connection from which the bytes are read. */
    @FunctionalInterface
    public interface Source {
        /** Starts or stops reading. Can be called repeatedly with the same value. */
        void setReading(boolean reading);
    }

    /** The connection to which the bytes are written. */
    @FunctionalInterface
    public interface Consumer {
        /** Called when there may be bytes to {@link #poll}, or when the body is complete or has failed. */
        void onProgress();
    }

    private final BufferBudget budget;
    private final DoubleSupplier clockMs;
    private final int unclaimedWindowBytes;
    private final Source source;
    private final Runnable onCapacity = this::updateReading;
    private Consumer consumer;
    /** The buffered bytes, in parts of up to {@link #CHUNK_BYTES}, so that memory is freed as they are polled. */
    private final Deque<ByteBuf> pending = new ArrayDeque<>();

    private int unwrittenBytes;
    /** When bytes were last forwarded, or were added while none were waiting. */
    private double lastProgressMs;

    private boolean read;
    private boolean complete;
    private boolean failed;
    private boolean closed;

    /**
     * Creates a pipe without a consumer. Until it has one, the pipe buffers up to a window of bytes.
     *
     * @param clockMs a clock that never runs backwards, in milliseconds
     */
    public BodyPipe(BufferBudget budget, DoubleSupplier clockMs, Source source) {
        this(budget, clockMs, WINDOW_BYTES, source);
    }

    /**
     * Creates a pipe without a consumer.
     *
     * @param clockMs a clock that never runs backwards, in milliseconds
     * @param unclaimedWindowBytes the window until the pipe has a consumer, in bytes, as long as half of the budget is
     *     free
     */
    public BodyPipe(BufferBudget budget, DoubleSupplier clockMs, int unclaimedWindowBytes, Source source) {
        this.budget = budget;
        this.clockMs = clockMs;
        this.unclaimedWindowBytes = unclaimedWindowBytes;
        this.source = source;
        lastProgressMs = clockMs.getAsDouble();
    }

    /** Sets the consumer and notifies it immediately. */
    public void setConsumer(Consumer consumer) {
        this.consumer = consumer;
        notifyConsumer();
    }

    /**
     * Adds a copy of the bytes; the caller still owns the buffer. The consumer is not notified until {@link #flush}.
     */
    public void write(ByteBuf bytes) {
        int size = bytes.readableBytes();
        if (closed || size == 0) {
            return;
        }
        if (isDrained()) {
            lastProgressMs = clockMs.getAsDouble();
        }
        append(bytes.duplicate());
        unwrittenBytes += size;
        budget.acquire(size);
        updateReading();
    }

    private void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            ByteBuf last = pending.peekLast();
            if (last == null || last.maxWritableBytes() == 0) {
                last = Unpooled.buffer(Math.min(bytes.readableBytes(), CHUNK_BYTES), CHUNK_BYTES);
                pending.add(last);
            }
            last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.maxWritableBytes()));
        }
    }

    /** Notifies the consumer of all bytes written so far, so that small parts are forwarded together. */
    public void flush() {
        notifyConsumer();
    }

    /** Marks the body as complete: all of it has been written to the pipe. */
    public void complete() {
        complete = true;
        notifyConsumer();
    }

    /** Marks the body as failed: the rest of it will not arrive. Does nothing if the body is complete. */
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
     * Returns the next bytes, or null if there are currently none. The caller must release the buffer, and call
     * {@link #onWritten} with its size after it has been written.
     */
    public ByteBuf poll() {
        ByteBuf chunk = pending.poll();
        read |= chunk != null;
        return chunk;
    }

    /** Notes that bytes returned by {@link #poll} have been written, or that their write has failed. */
    public void onWritten(int bytes) {
        lastProgressMs = clockMs.getAsDouble();
        int releasedBytes = Math.min(bytes, unwrittenBytes);
        unwrittenBytes -= releasedBytes;
        budget.release(releasedBytes);
        updateReading();
    }

    /**
     * Reads the source while the window and the budget have capacity. An empty pipe always reads, so that every body
     * makes progress.
     */
    private void updateReading() {
        if (closed || complete) {
            return;
        }
        boolean windowOpen = unwrittenBytes < windowBytes();
        boolean mayRead = unwrittenBytes == 0 || (windowOpen && budget.hasCapacity());
        if (!mayRead && windowOpen) {
            budget.notifyWhenAvailable(onCapacity);
        }
        source.setReading(mayRead);
    }

    private int windowBytes() {
        return consumer == null && budget.isHalfFree() ? unclaimedWindowBytes : WINDOW_BYTES;
    }

    /** Returns whether all bytes received have been forwarded, so that the pipe is waiting for its source. */
    public boolean isDrained() {
        return unwrittenBytes == 0;
    }

    /** Returns for how long there have been bytes to forward and none was forwarded, in milliseconds. */
    public double blockedMs() {
        return isDrained() ? 0 : sinceProgressMs();
    }

    /** Returns for how long the source has provided no bytes although there were none to forward, in milliseconds. */
    public double pausedMs() {
        return isDrained() ? sinceProgressMs() : 0;
    }

    private double sinceProgressMs() {
        return clockMs.getAsDouble() - lastProgressMs;
    }

    /** Returns whether any bytes have been polled; these cannot be read again. */
    public boolean hasBeenRead() {
        return read;
    }

    /** Returns whether the body is complete and all of it has been polled. */
    public boolean isFullyRead() {
        return complete && pending.isEmpty();
    }

    /** Returns whether the body ended before it was complete. */
    public boolean hasFailed() {
        return failed;
    }

    /** Returns whether the complete body has been written to the pipe. */
    public boolean isComplete() {
        return complete;
    }

    /**
     * Discards the buffered bytes and all that still arrive. Reading from the source continues, so that its message can
     * end.
     */
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        pending.clear();
        budget.cancelNotification(onCapacity);
        int unwrittenBefore = unwrittenBytes;
        unwrittenBytes = 0;
        budget.release(unwrittenBefore);
        if (!complete && !failed) {
            source.setReading(true);
        }
    }
}
