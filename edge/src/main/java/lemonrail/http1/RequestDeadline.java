package lemonrail.http1;

/**
 * By when a request must have been read whole. A head has a fixed time; a body may take longer as long as it
 * keeps up a minimum rate. Time in which the body is not read does not count. All times are in milliseconds of
 * the event loop's clock.
 */
final class RequestDeadline {

    /** From the first byte to the end of a head, and from the connect to the first byte. */
    static final int MAX_HEAD_MS = 2500;
    /** The time that a body has in any case. */
    static final int MIN_BODY_MS = 500;

    private static final int MIN_BODY_BYTES_PER_MS = 32;
    private static final double NOT_PAUSED = -1;

    /** Without the time that the body's bytes add. */
    private double baseDeadlineMs;

    private boolean inBody;
    private long bodyBytes;
    private double pausedAtMs = NOT_PAUSED;

    /** Starts the time of a request's head. */
    void start(double nowMs) {
        inBody = false;
        bodyBytes = 0;
        pausedAtMs = NOT_PAUSED;
        baseDeadlineMs = nowMs + MAX_HEAD_MS;
    }

    /** Starts the time of a body, as its head is whole. */
    void onHeadRead(double nowMs) {
        inBody = true;
        bodyBytes = 0;
        allowBodyTime(nowMs);
    }

    /** Gives a body its least time from now on. */
    void allowBodyTime(double nowMs) {
        baseDeadlineMs = Math.max(baseDeadlineMs, nowMs + MIN_BODY_MS);
    }

    void onBytesRead(int bytes) {
        if (inBody) {
            bodyBytes += bytes;
        }
    }

    void onRequestRead() {
        inBody = false;
    }

    boolean isInBody() {
        return inBody;
    }

    /** Stops the time: the sidecar does not read the body. */
    void pause(double nowMs) {
        if (!isPaused()) {
            pausedAtMs = nowMs;
        }
    }

    /** Starts the time again. */
    void resume(double nowMs) {
        if (isPaused()) {
            baseDeadlineMs += nowMs - pausedAtMs;
            pausedAtMs = NOT_PAUSED;
        }
    }

    boolean isPaused() {
        return pausedAtMs >= 0;
    }

    /** Returns the milliseconds left, 0 or less if the time has run out. */
    double remainingMs(double nowMs) {
        return baseDeadlineMs + (inBody ? bodyBytes / MIN_BODY_BYTES_PER_MS : 0) - nowMs;
    }
}
