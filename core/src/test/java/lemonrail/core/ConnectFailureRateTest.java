package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Checks which failed connects count as chance. */
class ConnectFailureRateTest {

    /** Guards against servers that are ejectedEndpoints by chance, and against dead ones that pass for chance. */
    @Test
    void failedConnectsAreChanceWhereHealthyEndpointsHaveThemToo() {
        ConnectFailureRate calm = new ConnectFailureRate();
        calm.recordSuccess(0);
        assertFalse(calm.isProbablyChance(1), "none fails where all is well");
        ConnectFailureRate late = new ConnectFailureRate();
        Random random = new Random(5);
        for (int i = 0; i < 200; i++) {
            int failed = 0;
            while (random.nextInt(3) == 0) {
                failed++;
            }
            late.recordSuccess(failed);
        }
        assertTrue(late.isProbablyChance(1), "one in three fails");
        assertFalse(late.isProbablyChance(4), "four in a row are beyond that");
        ConnectFailureRate back = new ConnectFailureRate();
        back.recordSuccess(9);
        assertFalse(back.isProbablyChance(2), "a server that was away for a while makes no others' failures chance");
    }
}
