package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks which failed connects are attributed to chance. */
class ConnectFailureRateTest {

    /**
     * Guards against the ejection of healthy endpoints for random connect failures, and against dead endpoints whose
     * failures are attributed to chance.
     */
    @Test
    void connectFailuresAreAttributedToChanceUpToTheRateOfHealthyEndpoints() {
        ConnectFailureRate withoutFailures = new ConnectFailureRate();
        withoutFailures.recordSuccess(0);
        assertFalse(withoutFailures.isProbablyChance(1), "one failure, at a rate of 0");
        ConnectFailureRate withFailures = new ConnectFailureRate();
        Random random = new Random(5);
        for (int i = 0; i < 200; i++) {
            int precedingFailures = 0;
            while (random.nextInt(3) == 0) {
                precedingFailures++;
            }
            withFailures.recordSuccess(precedingFailures);
        }
        assertTrue(withFailures.isProbablyChance(1), "one failure, at a rate of one in three");
        assertFalse(withFailures.isProbablyChance(4), "four failures in a row, at a rate of one in three");
        ConnectFailureRate afterOutage = new ConnectFailureRate();
        afterOutage.recordSuccess(9);
        assertFalse(
                afterOutage.isProbablyChance(2), "an endpoint that was unavailable does not raise the rate for others");
    }
}
