package lemonrail.http1;

import io.netty.channel.ChannelFuture;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;

/**
 * Closes a client connection after its last response in such a way that the response arrives. Closing a socket with
 * unread bytes resets the connection, and a reset discards data that the client has not read yet. Therefore, input that
 * the client still sends is read and discarded for a limited time and up to a limited size before the connection
 * closes.
 */
final class LingeringClose {

    /** The connection closes when no input arrives for this time. */
    private static final int LINGER_MS = 300;
    /** The maximum time for which input is read after the last response if the rest of a body is expected. */
    private static final int MAX_LINGER_WITH_BODY_MS = 10_000;

    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /**
     * The interval between reads once more than the limit has been discarded. It is short enough to detect that the
     * client has disconnected.
     */
    private static final int THROTTLED_READ_INTERVAL_MS = 1;

    /** More than is read at once otherwise, so that a disconnect behind much input is noticed soon. */
    private static final int THROTTLED_READ_BYTES = 16 * 1024;

    private static final long BEFORE_FIRST_CHECK = -1;

    private enum State {
        /** The last response has not been written; input is read and discarded as it arrives. */
        BEFORE_LAST_RESPONSE,
        /** The last response has not been written, and so much input has arrived that it is read at intervals. */
        THROTTLED,
        /** The last response has been written or cannot be written; input is discarded until the connection closes. */
        LINGERING
    }

    private final AcceptedSocket channel;
    private final Clock clock;
    private final ConnectionTimer timer;
    private State state = State.BEFORE_LAST_RESPONSE;
    private long discardedBytes;
    private long maxDiscardedBytes = MAX_DISCARDED_BYTES;
    private int maxLingerMs = LINGER_MS;

    LingeringClose(AcceptedSocket channel, Clock clock, ConnectionTimer timer) {
        this.channel = channel;
        this.clock = clock;
        this.timer = timer;
    }

    /** Returns whether reading is slowed down. */
    boolean isThrottled() {
        return state == State.THROTTLED;
    }

    /** Returns whether the last response has been written, or its write has failed. */
    boolean isLastResponseWritten() {
        return state == State.LINGERING;
    }

    /** Raises the limits so that the rest of a body that is no longer needed can arrive. */
    void allowRestOfBody() {
        maxDiscardedBytes = ResponseReader.MAX_BODY_BYTES;
        maxLingerMs = MAX_LINGER_WITH_BODY_MS;
    }

    /**
     * Counts discarded bytes. Above the limit, reading slows down, or the connection closes if the last response has
     * been written.
     */
    void onDiscarded(int bytes) {
        discardedBytes += bytes;
        if (discardedBytes <= maxDiscardedBytes) {
            return;
        }
        if (isLastResponseWritten()) {
            channel.close();
        } else {
            throttle();
        }
    }

    /**
     * Reads at intervals instead of stopping, because the end of the stream is detected only after all the input before
     * it has been read.
     */
    private void throttle() {
        state = State.THROTTLED;
        channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(THROTTLED_READ_BYTES));
        channel.config().setAutoRead(false);
        channel.eventLoop().schedule(this::readOnce, THROTTLED_READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void readOnce() {
        if (channel.isActive()) {
            channel.read();
        }
    }

    /**
     * Closes the connection after the last response.
     *
     * @param lastResponse completes when the last part of the response has been written
     */
    void closeAfter(ChannelFuture lastResponse) {
        channel.config().setAutoRead(!isThrottled());
        timer.closeWhenStalled();
        lastResponse.addListener(written -> {
            if (written.isSuccess()) {
                startLingering();
            } else {
                state = State.LINGERING;
                channel.close();
            }
        });
    }

    private void startLingering() {
        state = State.LINGERING;
        maxDiscardedBytes = Math.max(maxDiscardedBytes, discardedBytes + MAX_DISCARDED_BYTES);
        channel.shutdownOutput();
        channel.config().setAutoRead(true);
        linger(BEFORE_FIRST_CHECK, clock.now() + maxLingerMs);
    }

    private void linger(long previousDiscardedBytes, double endMs) {
        if (discardedBytes == previousDiscardedBytes || clock.now() >= endMs) {
            channel.close();
        } else {
            long currentDiscardedBytes = discardedBytes;
            timer.start(LINGER_MS, () -> linger(currentDiscardedBytes, endMs));
        }
    }
}
