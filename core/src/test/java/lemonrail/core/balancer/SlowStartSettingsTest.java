package lemonrail.core.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Checks the warm-up fraction. */
class SlowStartSettingsTest {

    @Test
    void warmUpFractionGrowsLinearly() {
        SlowStartSettings slowStart = new SlowStartSettings(0.2, 1000, 3, 1000);
        assertEquals(1, slowStart.warmUpFraction(5, 0), "0 stands for a start long ago");
        assertEquals(0.2, slowStart.warmUpFraction(5000, 5000));
        assertEquals(0.6, slowStart.warmUpFraction(5500, 5000), 1e-12);
        assertEquals(1, slowStart.warmUpFraction(6000, 5000));
        assertEquals(0.2, slowStart.warmUpFraction(4000, 5000), "a start in the future, as clocks may differ");
    }
}
