package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * Detects large bodies whose transfer has stalled. While a body is monitored, the periodic check replaces the timeout
 * of the attempt.
 */
final class StreamProgressMonitor {

    private static final int UPLOAD_STALL_MS = 4000;
    private static final int RESPONSE_STALL_MS = 10_000;

    private final EventLoopTimers timers;

    StreamProgressMonitor(EventLoopTimers timers) {
        this.timers = timers;
    }

    /**
     * Runs {@code onStalled} if the endpoint accepts nothing for {@link #UPLOAD_STALL_MS} although there are bytes to
     * send.
     */
    void watchUpload(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        scheduleUploadCheck(attempt, body, 0, onStalled);
    }

    private void scheduleUploadCheck(
            PendingAttempt attempt, BodyPipe body, long previousForwardedBytes, Runnable onStalled) {
        attempt.setTimeout(timers.schedule(UPLOAD_STALL_MS, () -> {
            long forwardedBytes = body.forwardedBytes();
            if (forwardedBytes == previousForwardedBytes && !body.isDrained()) {
                onStalled.run();
            } else {
                scheduleUploadCheck(attempt, body, forwardedBytes, onStalled);
            }
        }));
    }

    /**
     * Runs {@code onStalled} if nothing is forwarded for {@link #RESPONSE_STALL_MS}, whether the endpoint or the client
     * is the cause.
     */
    void watchResponse(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        scheduleResponseCheck(attempt, body, 0, onStalled);
    }

    private void scheduleResponseCheck(
            PendingAttempt attempt, BodyPipe body, long previousForwardedBytes, Runnable onStalled) {
        attempt.setTimeout(timers.schedule(RESPONSE_STALL_MS, () -> {
            long forwardedBytes = body.forwardedBytes();
            if (forwardedBytes == previousForwardedBytes) {
                onStalled.run();
            } else {
                scheduleResponseCheck(attempt, body, forwardedBytes, onStalled);
            }
        }));
    }
}
