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
    void estimatesStartFromClassAndFollowResponses() {
        LatencyEstimator estimator = new LatencyEstimator(
                new RequestClass("read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertEquals(250, estimator.typicalMs());
        assertEquals(250, estimator.baseMs());
        assertEquals(1000, estimator.tailMs());
        for (int i = 0; i < 2000; i++) {
            estimator.recordElapsed(i % 50 == 0 ? 400 : 100);
            estimator.recordResponse(100);
        }
        assertEquals(100, estimator.typicalMs(), 0.1);
        assertEquals(100, estimator.baseMs(), 0.1);
        assertTrue(estimator.tailMs() > 100 && estimator.tailMs() < 450, "" + estimator.tailMs());
        for (int i = 0; i < 500; i++) {
            estimator.recordElapsed(9000);
        }
        assertEquals(3000, estimator.tailMs(), "the tail time is at most the deadline");
    }
}
