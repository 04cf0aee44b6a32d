package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;
import org.junit.jupiter.api.Test;

/** Checks the estimates of response times. */
class LatencyEstimatorTest {

    @Test
    void estimatesStartFromTheClassAndFollowResponses() {
        LatencyEstimator times = new LatencyEstimator(
                new RequestClass("read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertEquals(250, times.typicalMs());
        assertEquals(250, times.baseMs());
        assertEquals(1000, times.tailMs());
        for (int i = 0; i < 2000; i++) {
            times.recordElapsed(i % 50 == 0 ? 400 : 100);
            times.recordResponse(100);
        }
        assertEquals(100, times.typicalMs(), 0.1);
        assertEquals(100, times.baseMs(), 0.1);
        assertTrue(times.tailMs() > 100 && times.tailMs() < 450, "" + times.tailMs());
        for (int i = 0; i < 500; i++) {
            times.recordElapsed(9000);
        }
        assertEquals(3000, times.tailMs(), "no more than the deadline");
    }
}
