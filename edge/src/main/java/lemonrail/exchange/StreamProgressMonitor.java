package lemonrail.exchange;

import java.util.function.BooleanSupplier;
import lemonrail.streaming.BodyPipe;

/**
 * Detects large bodies whose transfer has stalled. While a body is monitored, the periodic check replaces the timeout
 * of the attempt.
 */
final class StreamProgressMonitor {

    private static final int UPLOAD_STALL_MS = 4000;
    private static final int RESPONSE_STALL_MS = 10_000;
    /** How often progress is checked within the time after which a transfer counts as stalled. */
    private static final int CHECKS_PER_STALL = 8;

    private final EventLoopTimers timers;

    StreamProgressMonitor(EventLoopTimers timers) {
        this.timers = timers;
    }

    /**
     * Runs {@code onStalled} if the endpoint accepts nothing for {@link #UPLOAD_STALL_MS} although there are bytes to
     * send.
     */
    void watchUpload(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        Progress progress = new Progress(body);
        scheduleCheck(attempt, UPLOAD_STALL_MS, () -> progress.update().isBlocked(), onStalled);
    }

    /**
     * Runs {@code onStalled} if the client accepts nothing for {@link #RESPONSE_STALL_MS} although there are bytes to
     * send, or if nothing is forwarded from one to the next of the points in time that are this far apart.
     */
    void watchResponse(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        Progress progress = new Progress(body);
        scheduleCheck(
                attempt,
                RESPONSE_STALL_MS,
                () -> progress.update().isBlocked() || progress.hasPausedForAPeriod(),
                onStalled);
    }

    private void scheduleCheck(PendingAttempt attempt, double stallMs, BooleanSupplier isStalled, Runnable onStalled) {
        attempt.setTimeout(timers.schedule(stallMs / CHECKS_PER_STALL, () -> {
            if (isStalled.getAsBoolean()) {
                onStalled.run();
            } else {
                scheduleCheck(attempt, stallMs, isStalled, onStalled);
            }
        }));
    }

    /** The progress of a transfer from check to check. */
    private static final class Progress {
        private final BodyPipe body;
        private long forwardedBytes;
        /** The number of consecutive checks before which the body had bytes to forward and none was forwarded. */
        private int blockedChecks;

        private int checksInPeriod;
        private long periodStartBytes;
        private boolean pausedForAPeriod;

        Progress(BodyPipe body) {
            this.body = body;
        }

        Progress update() {
            boolean blocked = body.forwardedBytes() == forwardedBytes && !body.isDrained();
            blockedChecks = blocked ? blockedChecks + 1 : 0;
            forwardedBytes = body.forwardedBytes();
            checksInPeriod++;
            if (checksInPeriod == CHECKS_PER_STALL) {
                pausedForAPeriod = forwardedBytes == periodStartBytes;
                periodStartBytes = forwardedBytes;
                checksInPeriod = 0;
            }
            return this;
        }

        /** Returns whether the receiving side has accepted nothing for the time after which it has stalled. */
        boolean isBlocked() {
            return blockedChecks >= CHECKS_PER_STALL;
        }

        /** Returns whether nothing was forwarded in a whole period, whichever side is the cause. */
        boolean hasPausedForAPeriod() {
            return pausedForAPeriod;
        }
    }
}
