package lemonrail.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How much of a client's time is kept for its answer's way. */
class ResponseTimeReserveTest {

    @Test
    void aPromptLoopKeepsAHundredthOfTheTime() {
        assertEquals(50, ResponseTimeReserve.reserveMs(5000, 0));
    }

    @Test
    void shortWaitsKeepWhatANetworkNeedsAtLeast() {
        assertEquals(2, ResponseTimeReserve.reserveMs(100, 0));
    }

    @Test
    void aLateLoopAddsItsLateness() {
        assertEquals(34, ResponseTimeReserve.reserveMs(400, 30));
    }

    @Test
    void aQuarterIsTheMost() {
        assertEquals(100, ResponseTimeReserve.reserveMs(400, 1000));
        assertEquals(1, ResponseTimeReserve.reserveMs(4, 0));
    }

    @Test
    void whoseTimeIsOverKeepsNothing() {
        assertEquals(0, ResponseTimeReserve.reserveMs(-5, 10));
    }
}
