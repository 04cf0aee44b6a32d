package lemonrail.http1;

import java.util.concurrent.TimeUnit;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;

/**
 * Delays requests that have waited to be read until the disconnect of their client would have been noticed: the end of
 * the input is behind the request, so it is read later. Confined to the connection's event loop.
 */
final class DisconnectCheck {

    /** A request that has waited for a shorter time is not delayed: an attempt may start 100 ms after a disconnect. */
    private static final double MAX_WAIT_MS = 50;
    /** In this time the event loop polls at least once more, and reads what has arrived. */
    private static final int CHECK_INTERVAL_MS = 1;
    /** Bounds the delay for a client that never stops sending. */
    private static final int MAX_CHECKS = 20;

    private final AcceptedSocket channel;
    private final Clock clock;

    DisconnectCheck(AcceptedSocket channel, Clock clock) {
        this.channel = channel;
        this.clock = clock;
    }

    /** Returns whether the input that is being read may have waited for long. */
    boolean isNeeded() {
        return clock.maxQueueDelayMs() >= MAX_WAIT_MS;
    }

    /** Runs the action after the check, also if the connection has been closed meanwhile. */
    void runAfterCheck(Runnable action) {
        scheduleCheck(action, MAX_CHECKS);
    }

    private void scheduleCheck(Runnable action, int remainingChecks) {
        channel.eventLoop().schedule(() -> check(action, remainingChecks), CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void check(Runnable action, int remainingChecks) {
        boolean endMayBeUnread = channel.config().isAutoRead() && channel.hasUnreadBytes();
        if (endMayBeUnread && remainingChecks > 1) {
            scheduleCheck(action, remainingChecks - 1);
        } else {
            action.run();
        }
    }
}
