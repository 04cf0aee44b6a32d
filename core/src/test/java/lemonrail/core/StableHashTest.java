package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import org.junit.jupiter.api.Test;

/** Checks that hashes are the same as in other versions. */
class StableHashTest {

    @Test
    void hashIsTheSameInEveryVersion() {
        // Computed independently, with the steps that the design page describes.
        assertEquals(0x811c9dc5L, hashWithoutMixing(""));
        assertEquals(mix((int) hashWithoutMixing("s-5be2a07c")), StableHash.of("s-5be2a07c"));
        assertNotEquals(StableHash.of("a"), StableHash.of("b"));
    }

    private static long hashWithoutMixing(String text) {
        long h = 0x811c9dc5L;
        for (int i = 0; i < text.length(); i++) {
            h = (h ^ text.charAt(i)) * 0x01000193L & 0xffffffffL;
        }
        return h;
    }

    private static long mix(int h) {
        int a = (h ^ h >>> 16) * 0x7feb352d;
        return (a ^ a >>> 15) & 0xffffffffL;
    }
}
