package lemonrail.exchange;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How much of a client's time is kept for its answer's way. */
class ReplyAllowanceTest {

    @Test
    void aPromptLoopKeepsAHundredthOfTheTime() {
        assertEquals(50, ReplyAllowance.ms(5000, 0));
    }

    @Test
    void shortWaitsKeepWhatANetworkNeedsAtLeast() {
        assertEquals(2, ReplyAllowance.ms(100, 0));
    }

    @Test
    void aLateLoopAddsItsLateness() {
        assertEquals(34, ReplyAllowance.ms(400, 30));
    }

    @Test
    void aQuarterIsTheMost() {
        assertEquals(100, ReplyAllowance.ms(400, 1000));
        assertEquals(1, ReplyAllowance.ms(4, 0));
    }

    @Test
    void whoseTimeIsOverKeepsNothing() {
        assertEquals(0, ReplyAllowance.ms(-5, 10));
    }
}
