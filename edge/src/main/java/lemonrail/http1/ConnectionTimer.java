package lemonrail.http1;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.upgrade.AcceptedSocket;

/** The one timer of a client's connection: starting it for another purpose ends the one before. */
final class ConnectionTimer {

    /** A client that takes nothing of its responses for this time is disconnected. */
    private static final int MAX_STALL_MS = 10_000;
    /** No channel has this many bytes pending. */
    private static final long NOTHING_SEEN = Long.MIN_VALUE;

    private final AcceptedSocket channel;
    private Future<?> timeout;

    ConnectionTimer(AcceptedSocket channel) {
        this.channel = channel;
    }

    /** Runs {@code onTimeout} on the event loop after so many milliseconds, unless the timer is used again before. */
    void start(int delayMs, Runnable onTimeout) {
        cancel();
        timeout = channel.eventLoop().schedule(onTimeout, delayMs, TimeUnit.MILLISECONDS);
    }

    void cancel() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }

    /** Closes the connection once the client takes no byte of its responses for {@link #MAX_STALL_MS}. */
    void closeWhenStalled() {
        closeIfStalled(NOTHING_SEEN);
    }

    private void closeIfStalled(long pendingBefore) {
        long pending = channel.bytesBeforeWritable() - channel.bytesBeforeUnwritable();
        if (pending == pendingBefore) {
            channel.close();
        } else {
            start(MAX_STALL_MS, () -> closeIfStalled(pending));
        }
    }
}
