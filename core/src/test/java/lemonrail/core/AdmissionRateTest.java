package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What is learned of the share of requests that are served. */
class AdmissionRateTest {

    @Test
    void nothingKnownIsWhatIsGivenForUnknown() {
        assertEquals(0.3, new AdmissionRate().estimate(0.3));
    }

    @Test
    void whatWasNotSentTellsNothing() {
        AdmissionRate share = new AdmissionRate();
        for (int i = 0; i < 100; i++) {
            share.recordRequest(false);
        }
        assertEquals(0.3, share.estimate(0.3));
    }

    @Test
    void itNearsTheShareAndForgetsWhatWasBefore() {
        AdmissionRate share = new AdmissionRate();
        for (int i = 0; i < 500; i++) {
            share.recordRequest(true);
            share.recordServed();
        }
        assertTrue(share.estimate(0) > 0.96 && share.estimate(1) <= 1, "all served " + share.estimate(0));
        for (int i = 0; i < 500; i++) {
            share.recordRequest(true);
            if (i % 5 == 0) {
                share.recordServed();
            }
        }
        assertEquals(0.2, share.estimate(0), 0.05, "one in five");
        for (int i = 0; i < 500; i++) {
            share.recordRequest(true);
        }
        assertEquals(0, share.estimate(0), 0.001, "none");
    }

    /** Guards against a fleet of slow callers that each take themselves for better served than all are. */
    @Test
    void manyThatKnowLittleComeNearTheShareOfAll() {
        SplittableRandom random = new SplittableRandom(5);
        int processes = 1000;
        double sum = 0;
        for (int process = 0; process < processes; process++) {
            AdmissionRate share = new AdmissionRate();
            for (int i = random.nextInt(4); i > 0; i--) {
                share.recordRequest(true);
                if (random.nextInt(6) == 0) {
                    share.recordServed();
                }
            }
            sum += share.estimate(0);
        }
        assertTrue(sum / processes > 0.05 && sum / processes < 1.0 / 6, "mean " + sum / processes);
    }
}
