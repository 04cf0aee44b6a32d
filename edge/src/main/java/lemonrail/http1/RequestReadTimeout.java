package lemonrail.http1;

/**
 * The timeout for receiving a complete request. A head must arrive within a fixed time. A body may take longer while it
 * arrives at a minimum rate and without long pauses; time during which the sidecar does not read the body does not
 * count. All times are in milliseconds of the event loop's clock.
 */
final class RequestReadTimeout {

    /**
     * The maximum time from the first byte to the end of a head, and from the opening of the connection to the first
     * byte.
     */
    static final int MAX_HEAD_MS = 2500;
    /** The minimum time that every body is allowed. */
    static final int MIN_BODY_MS = 500;

    /** The maximum time without a byte of a body, however fast the bytes before came. */
    private static final int MAX_BODY_PAUSE_MS = 2500;

    private static final int MIN_BODY_BYTES_PER_MS = 32;
    private static final double NOT_PAUSED = -1;

    private double deadlineMs;
    private boolean inBody;
    private double pausedAtMs = NOT_PAUSED;

    /** Starts the timeout for the head of a request. */
    void start(double nowMs) {
        inBody = false;
        pausedAtMs = NOT_PAUSED;
        deadlineMs = nowMs + MAX_HEAD_MS;
    }

    /** Starts the timeout for a body, because its head has been read. */
    void onHeadRead(double nowMs) {
        inBody = true;
        ensureMinBodyTime(nowMs);
    }

    /** Extends the deadline so that a body has at least its minimum time from now. */
    void ensureMinBodyTime(double nowMs) {
        deadlineMs = Math.max(deadlineMs, nowMs + MIN_BODY_MS);
    }

    /** Extends the deadline by the time that the bytes of a body may take at the minimum rate. */
    void onBytesRead(int bytes, double nowMs) {
        if (inBody) {
            double latestMs = (isPaused() ? pausedAtMs : nowMs) + MAX_BODY_PAUSE_MS;
            double extendedMs = deadlineMs + (double) bytes / MIN_BODY_BYTES_PER_MS;
            deadlineMs = Math.max(deadlineMs, Math.min(extendedMs, latestMs));
        }
    }

    /** Notes that the request is complete. A pause in reading its body ends with it. */
    void onRequestRead() {
        inBody = false;
        pausedAtMs = NOT_PAUSED;
    }

    boolean isInBody() {
        return inBody;
    }

    /** Pauses the timeout while the sidecar does not read the body. */
    void pause(double nowMs) {
        if (!isPaused()) {
            pausedAtMs = nowMs;
        }
    }

    /** Resumes the timeout. */
    void resume(double nowMs) {
        if (isPaused()) {
            deadlineMs += nowMs - pausedAtMs;
            pausedAtMs = NOT_PAUSED;
        }
    }

    boolean isPaused() {
        return pausedAtMs >= 0;
    }

    /** Returns the remaining time in milliseconds; 0 or less if the timeout has passed. */
    double remainingMs(double nowMs) {
        return deadlineMs - nowMs;
    }
}
