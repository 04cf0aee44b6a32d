package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * Detects large bodies whose transfer has stalled. While a body is monitored, the periodic check replaces the timeout
 * of the attempt.
 */
final class StreamProgressMonitor {

    private static final int UPLOAD_STALL_MS = 4000;
    private static final int RESPONSE_STALL_MS = 10_000;
    /** How often progress is checked within the time after which an upload counts as stalled. */
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
        scheduleUploadCheck(attempt, body, new Progress(), onStalled);
    }

    private void scheduleUploadCheck(PendingAttempt attempt, BodyPipe body, Progress progress, Runnable onStalled) {
        attempt.setTimeout(timers.schedule(UPLOAD_STALL_MS / CHECKS_PER_STALL, () -> {
            if (progress.checksWithoutProgress(body) < CHECKS_PER_STALL) {
                scheduleUploadCheck(attempt, body, progress, onStalled);
            } else {
                onStalled.run();
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

    /** Counts consecutive checks between which a body had bytes to forward and none was forwarded. */
    private static final class Progress {
        private long forwardedBytes;
        private int checksWithoutProgress;

        int checksWithoutProgress(BodyPipe body) {
            boolean stalled = body.forwardedBytes() == forwardedBytes && !body.isDrained();
            forwardedBytes = body.forwardedBytes();
            checksWithoutProgress = stalled ? checksWithoutProgress + 1 : 0;
            return checksWithoutProgress;
        }
    }
}
