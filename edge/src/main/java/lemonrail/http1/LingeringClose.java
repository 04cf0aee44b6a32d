package lemonrail.http1;

import io.netty.channel.ChannelFuture;
import java.util.concurrent.TimeUnit;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;

/**
 * Closes a client's connection after its last response so that the response arrives: what the client still
 * sends is read and discarded for a while, since unread bytes would make the close a reset, and a reset destroys
 * what the client has not read yet. Bounds the time and the bytes.
 */
final class LingeringClose {

    /** The connection closes when nothing arrives for this time. */
    private static final int LINGER_MS = 300;
    /** The longest time to read on where the rest of a body is expected. */
    private static final int MAX_LINGER_WITH_BODY_MS = 10_000;

    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /** Between two reads once more has been discarded: often enough to notice that the client has gone. */
    private static final int THROTTLED_READ_INTERVAL_MS = 1;

    private static final long NOTHING_DISCARDED_YET = -1;

    private enum State {
        /** The last response is not written: what arrives is discarded as it comes. */
        BEFORE_LAST_RESPONSE,
        /** The same, but so much has arrived that it is read at intervals. */
        THROTTLED,
        /** The last response is written, or cannot be: the rest is discarded for a while. */
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

    /** Returns whether the last response is written, or has failed to be. */
    boolean isLastResponseWritten() {
        return state == State.LINGERING;
    }

    /** Allows for the rest of a body that its request no longer needs. */
    void allowRestOfBody() {
        maxDiscardedBytes = ResponseReader.MAX_BODY_BYTES;
        maxLingerMs = MAX_LINGER_WITH_BODY_MS;
    }

    /** Counts bytes that were discarded. Beyond the bound, reading slows down or the connection closes. */
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

    /** Reads at intervals: that the client has gone can only be read behind all that it has sent. */
    private void throttle() {
        state = State.THROTTLED;
        channel.config().setAutoRead(false);
        channel.eventLoop().schedule(this::readOnce, THROTTLED_READ_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void readOnce() {
        if (channel.isActive()) {
            channel.read();
        }
    }

    /** Closes the connection after this response, whose last part is being written. */
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
        linger(NOTHING_DISCARDED_YET, clock.now() + maxLingerMs);
    }

    private void linger(long discardedBefore, double endMs) {
        if (discardedBytes == discardedBefore || clock.now() >= endMs) {
            channel.close();
        } else {
            long discardedNow = discardedBytes;
            timer.start(LINGER_MS, () -> linger(discardedNow, endMs));
        }
    }
}
