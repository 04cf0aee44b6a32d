package lemonrail.exchange;

import java.util.function.BooleanSupplier;
import lemonrail.streaming.BodyPipe;
import lemonrail.time.Clock;

/**
 * Detects large bodies whose transfer has stalled. While a body is monitored, the periodic check replaces the timeout
 * of the attempt. Each time limit is met to within one interval between checks.
 */
final class StreamProgressMonitor {

    private static final int UPLOAD_CHECK_INTERVAL_MS = 500;
    private static final int UPLOAD_STALL_MS = 4000;
    private static final int RESPONSE_CHECK_INTERVAL_MS = 1000;
    private static final int RESPONSE_STALL_MS = 10_000;
    /** Longer than the stall of a client, because an endpoint may hang for 25 s and then go on. */
    private static final int RESPONSE_PAUSE_MS = 28_000;

    private final Clock clock;
    private final EventLoopTimers timers;

    StreamProgressMonitor(Clock clock, EventLoopTimers timers) {
        this.clock = clock;
        this.timers = timers;
    }

    /**
     * Runs {@code onStalled} if the endpoint accepts nothing for {@link #UPLOAD_STALL_MS} although there are bytes to
     * send. The bytes may have been waiting since before the attempt; that time does not count.
     */
    void watchUpload(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        double startedMs = clock.now();
        BooleanSupplier isStalled = () -> Math.min(body.blockedMs(), clock.now() - startedMs) >= UPLOAD_STALL_MS;
        scheduleCheck(attempt, UPLOAD_CHECK_INTERVAL_MS, isStalled, onStalled);
    }

    /**
     * Runs {@code onStalled} if the client accepts nothing for {@link #RESPONSE_STALL_MS} although there are bytes to
     * send, or if the endpoint sends nothing for {@link #RESPONSE_PAUSE_MS}.
     */
    void watchResponse(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        BooleanSupplier isStalled = () -> body.blockedMs() >= RESPONSE_STALL_MS || body.pausedMs() >= RESPONSE_PAUSE_MS;
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
}
