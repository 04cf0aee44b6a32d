package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Checks the estimate of the fraction of requests that are served. */
class AdmissionRateTest {

    @Test
    void estimateIsPriorBeforeAnyRequest() {
        assertEquals(0.3, new AdmissionRate().estimate(0.3));
    }

    @Test
    void requestsNotForwardedDoNotCount() {
        AdmissionRate rate = new AdmissionRate();
        for (int i = 0; i < 100; i++) {
            rate.recordRequest(false);
        }
        assertEquals(0.3, rate.estimate(0.3));
    }

    @Test
    void estimateFollowsRecentRate() {
        AdmissionRate rate = new AdmissionRate();
        for (int i = 0; i < 500; i++) {
            rate.recordRequest(true);
            rate.recordServed();
        }
        assertTrue(
                rate.estimate(0) > 0.96 && rate.estimate(1) <= 1,
                "estimate with all requests served: " + rate.estimate(0));
        for (int i = 0; i < 500; i++) {
            rate.recordRequest(true);
            if (i % 5 == 0) {
                rate.recordServed();
            }
        }
        assertEquals(0.2, rate.estimate(0), 0.05, "estimate with one in five requests served");
        for (int i = 0; i < 500; i++) {
            rate.recordRequest(true);
        }
        assertEquals(0, rate.estimate(0), 0.001, "estimate with no request served");
    }

    /** Guards against low-traffic balancers that each overestimate the rate. */
    @Test
    void meanOfLowTrafficEstimatesIsCloseToRate() {
        SplittableRandom random = new SplittableRandom(5);
        int processes = 1000;
        double sum = 0;
        for (int process = 0; process < processes; process++) {
            AdmissionRate rate = new AdmissionRate();
            for (int i = random.nextInt(4); i > 0; i--) {
                rate.recordRequest(true);
                if (random.nextInt(6) == 0) {
                    rate.recordServed();
                }
            }
            sum += rate.estimate(0);
        }
        assertTrue(sum / processes > 0.05 && sum / processes < 1.0 / 6, "mean estimate " + sum / processes);
    }
}
