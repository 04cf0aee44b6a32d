package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks rate and burst capacity of a token bucket. */
class TokenBucketTest {

    @Test
    void bucketRefillsUpToItsBurstCapacity() {
        TokenBucket bucket = new TokenBucket(0.01, 3);
        for (int i = 0; i < 3; i++) {
            assertTrue(bucket.tryTake(1000));
        }
        assertFalse(bucket.tryTake(1000));
        assertFalse(bucket.tryTake(1099));
        assertTrue(bucket.tryTake(1100));
        for (int i = 0; i < 3; i++) {
            assertTrue(bucket.tryTake(1_000_000));
        }
        assertFalse(bucket.tryTake(1_000_000));
    }
}
