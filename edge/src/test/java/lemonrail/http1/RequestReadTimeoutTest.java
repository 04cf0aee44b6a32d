package lemonrail.http1;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RequestReadTimeoutTest {

    private static final int BYTES_PER_SECOND = 32_000;

    private final RequestReadTimeout timeout = new RequestReadTimeout();

    /** Guards against time that a client saves up by sending fast. */
    @Test
    void fastBytesDoNotExtendTheDeadlineBeyondTheMaximumPause() {
        timeout.start(0);
        timeout.onHeadRead(1000);
        timeout.onBytesRead(100 * BYTES_PER_SECOND, 2000);
        assertEquals(2500, timeout.remainingMs(2000));
    }

    @Test
    void bytesAtTheMinimumRateExtendTheDeadline() {
        timeout.start(0);
        timeout.onHeadRead(2400);
        for (int second = 3; second < 60; second++) {
            timeout.onBytesRead(BYTES_PER_SECOND, second * 1000);
            assertTrue(timeout.remainingMs(second * 1000) > 0);
        }
    }

    /** Guards against a timeout that never ends, because reading of the body before was paused at its end. */
    @Test
    void pauseOfABodyEndsWithTheBody() {
        timeout.start(0);
        timeout.onHeadRead(100);
        timeout.pause(200);
        timeout.onRequestRead();
        timeout.onHeadRead(5000);
        assertFalse(timeout.isPaused());
        assertEquals(500, timeout.remainingMs(5000));
    }
}
