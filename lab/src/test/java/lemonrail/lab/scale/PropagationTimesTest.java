package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PropagationTimesTest {

    private static final double EXACT = 1e-9;

    @Test
    void percentilesAreOverAllPairsAndOverTheLastOfEachChange() {
        PropagationTimes all = new PropagationTimes();
        all.add(List.of(10.0, 30.0));
        all.add(List.of(20.0, 40.0));
        assertEquals(4, all.pairs());
        assertEquals(20, all.percentileMs(0.5), EXACT);
        assertEquals(40, all.percentileMs(1), EXACT);
        assertEquals(30, all.slowestPercentileMs(0.5), EXACT);
    }

    @Test
    void aPercentileOfAHundredIsThatOne() {
        PropagationTimes all = new PropagationTimes();
        all.add(IntStream.rangeClosed(1, 100).mapToObj(i -> (double) i).toList());
        assertEquals(99, all.percentileMs(0.99), EXACT);
        assertEquals(50, all.percentileMs(0.5), EXACT);
    }

    @Test
    void whoNeverHasItIsCountedAndNoLastOfAll() {
        PropagationTimes all = new PropagationTimes();
        all.add(List.of(10.0, Double.NaN));
        assertEquals(2, all.pairs());
        assertEquals(1, all.neverApplied());
        assertEquals(10, all.percentileMs(1), EXACT);
        assertTrue(Double.isNaN(all.slowestPercentileMs(1)));
    }

    @Test
    void nothingIsNoTime() {
        PropagationTimes none = new PropagationTimes();
        none.add(List.of());
        assertEquals(0, none.pairs());
        assertTrue(Double.isNaN(none.percentileMs(1)));
        assertTrue(Double.isNaN(none.slowestPercentileMs(1)));
    }

    @Test
    void aVersionHasAllThatCameBefore() {
        ControlPlane.Applied change = new ControlPlane.Applied(0, Map.of("all", 3L));
        assertTrue(change.isIncludedIn("all", 3));
        assertFalse(change.isIncludedIn("all", 2));
        assertFalse(change.isIncludedIn("service-1", 9));
    }

    @Test
    void whatWasCutOffCountsFromTheHealingOn() {
        Fleet.Change change = new Fleet.Change(new ControlPlane.Applied(100, Map.of()), Map.of(), -1, 100);
        assertEquals(100, change.availableNanos(1));
        assertEquals(100, change.withOrigin(0, 900).availableNanos(0));
        assertEquals(900, change.withOrigin(0, 900).availableNanos(1));
        assertEquals(500, change.withTime(500).availableNanos(1));
    }
}
