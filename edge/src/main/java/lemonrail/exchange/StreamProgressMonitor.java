package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/** Detects large bodies that have stopped moving. A check takes the place of the attempt's timeout. */
final class StreamProgressMonitor {

    private static final int UPLOAD_STALL_MS = 4000;
    private static final int RESPONSE_STALL_MS = 10_000;

    private final EventLoopTimers timers;

    StreamProgressMonitor(EventLoopTimers timers) {
        this.timers = timers;
    }

    /** Runs {@code onStalled} if the endpoint accepts nothing for a while, though there are bytes to send. */
    void watchUpload(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        scheduleUploadCheck(attempt, body, 0, onStalled);
    }

    private void scheduleUploadCheck(PendingAttempt attempt, BodyPipe body, long forwardedBefore, Runnable onStalled) {
        attempt.setTimeout(timers.schedule(UPLOAD_STALL_MS, () -> {
            long forwarded = body.forwardedBytes();
            if (forwarded == forwardedBefore && !body.isDrained()) {
                onStalled.run();
            } else {
                scheduleUploadCheck(attempt, body, forwarded, onStalled);
            }
        }));
    }

    /** Runs {@code onStalled} if nothing is forwarded for a while, whichever side is the cause. */
    void watchResponse(PendingAttempt attempt, BodyPipe body, Runnable onStalled) {
        scheduleResponseCheck(attempt, body, 0, onStalled);
    }

    private void scheduleResponseCheck(
            PendingAttempt attempt, BodyPipe body, long forwardedBefore, Runnable onStalled) {
        attempt.setTimeout(timers.schedule(RESPONSE_STALL_MS, () -> {
            long forwarded = body.forwardedBytes();
            if (forwarded == forwardedBefore) {
                onStalled.run();
            } else {
                scheduleResponseCheck(attempt, body, forwarded, onStalled);
            }
        }));
    }
}
