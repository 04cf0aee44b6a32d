package lemonrail.http1;

import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lemonrail.upgrade.AcceptedSocket;

/** The single timer of a client connection: starting it for another purpose cancels the previous use. */
final class ConnectionTimer {

    /** A client that accepts no response bytes for this time is disconnected. */
    private static final int MAX_STALL_MS = 10_000;
    /** Stands for the pending bytes before the first check; no channel has this many. */
    private static final long BEFORE_FIRST_CHECK = Long.MIN_VALUE;

    private final AcceptedSocket channel;
    private Future<?> timeout;

    ConnectionTimer(AcceptedSocket channel) {
        this.channel = channel;
    }

    /**
     * Runs {@code onTimeout} on the event loop after a delay, unless the timer is cancelled or started again before
     * then.
     */
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

    /** Closes the connection once the client has accepted no response bytes for {@link #MAX_STALL_MS}. */
    void closeWhenStalled() {
        closeIfStalled(BEFORE_FIRST_CHECK);
    }

    private void closeIfStalled(long previousPending) {
        long pending = channel.bytesBeforeWritable() - channel.bytesBeforeUnwritable();
        if (pending == previousPending) {
            channel.close();
        } else {
            start(MAX_STALL_MS, () -> closeIfStalled(pending));
        }
    }
}
