package lemonrail.exchange;

import java.util.function.BooleanSupplier;
import lemonrail.streaming.BodyPipe;

/**
 * Detects large bodies whose transfer has stalled. While a body is monitored, the periodic check replaces the timeout
 * of the attempt. Each time limit is met to within one interval between checks.
 */
final class StreamProgressMonitor {

    private static final int UPLOAD_CHECK_INTERVAL_MS = 500;
    private static final int UPLOAD_STALL_MS = 4000;
    private static final int RESPONSE_CHECK_INTERVAL_MS = 1000;
    private static final int RESPONSE_STALL_MS = 10_000;
    /** Longer than the stall of a client, because an endpoint that hangs may go on. */
    private static final int RESPONSE_PAUSE_MS = 16_000;

    private final EventLoopTimers timers;

    StreamProgressMonitor(EventLoopTimers timers) {
        this.timers = timers;
    }

    /**
     * Runs {@code onStalled} if the endpoint accepts nothing for {@link #UPLOAD_STALL_MS} although there are bytes to
     * send.
     */
    void watchUpload(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        Progress progress = new Progress(body, UPLOAD_CHECK_INTERVAL_MS);
        BooleanSupplier isStalled = () -> progress.update().blockedMs >= UPLOAD_STALL_MS;
        scheduleCheck(attempt, UPLOAD_CHECK_INTERVAL_MS, isStalled, onStalled);
    }

    /**
     * Runs {@code onStalled} if the client accepts nothing for {@link #RESPONSE_STALL_MS} although there are bytes to
     * send, or if the endpoint sends nothing for {@link #RESPONSE_PAUSE_MS}.
     */
    void watchResponse(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        Progress progress = new Progress(body, RESPONSE_CHECK_INTERVAL_MS);
        BooleanSupplier isStalled =
                () -> progress.update().blockedMs >= RESPONSE_STALL_MS || progress.pausedMs >= RESPONSE_PAUSE_MS;
        scheduleCheck(attempt, RESPONSE_CHECK_INTERVAL_MS, isStalled, onStalled);
    }

    private void scheduleCheck(PendingAttempt attempt, int intervalMs, BooleanSupplier isStalled, Runnable onStalled) {
        attempt.setTimeout(timers.schedule(intervalMs, () -> {
            if (isStalled.getAsBoolean()) {
                onStalled.run();
            } else {
                scheduleCheck(attempt, intervalMs, isStalled, onStalled);
            }
        }));
    }

    /** The progress of a transfer from check to check. */
    private static final class Progress {
        private final BodyPipe body;
        private final int checkIntervalMs;
        private long forwardedBytes;
        /** For how long the body has had bytes to forward and none was forwarded. */
        private int blockedMs;
        /** For how long the body has had no bytes to forward. */
        private int pausedMs;

        Progress(BodyPipe body, int checkIntervalMs) {
            this.body = body;
            this.checkIntervalMs = checkIntervalMs;
        }

        /** Notes that one interval has passed. */
        Progress update() {
            boolean moved = body.forwardedBytes() != forwardedBytes;
            forwardedBytes = body.forwardedBytes();
            blockedMs = moved || body.isDrained() ? 0 : blockedMs + checkIntervalMs;
            pausedMs = moved || !body.isDrained() ? 0 : pausedMs + checkIntervalMs;
            return this;
        }
    }
}
