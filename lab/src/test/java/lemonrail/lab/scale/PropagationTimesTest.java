package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class PropagationTimesTest {

    private static final double TOLERANCE = 1e-9;

    @Test
    void percentilesCoverAllPairsAndTheSlowestOfEachChange() {
        PropagationTimes times = new PropagationTimes();
        times.add(List.of(10.0, 30.0));
        times.add(List.of(20.0, 40.0));
        assertEquals(4, times.pairs());
        assertEquals(20, times.percentileMs(0.5), TOLERANCE);
        assertEquals(40, times.percentileMs(1), TOLERANCE);
        assertEquals(30, times.slowestPercentileMs(0.5), TOLERANCE);
    }

    @Test
    void percentileOfAHundredValuesIsTheValueOfThatRank() {
        PropagationTimes times = new PropagationTimes();
        times.add(IntStream.rangeClosed(1, 100).mapToObj(i -> (double) i).toList());
        assertEquals(99, times.percentileMs(0.99), TOLERANCE);
        assertEquals(50, times.percentileMs(0.5), TOLERANCE);
    }

    @Test
    void sidecarsThatNeverApplyAChangeAreCountedAndGiveNoSlowestTime() {
        PropagationTimes times = new PropagationTimes();
        times.add(List.of(10.0, Double.NaN));
        assertEquals(2, times.pairs());
        assertEquals(1, times.neverApplied());
        assertEquals(10, times.percentileMs(1), TOLERANCE);
        assertTrue(Double.isNaN(times.slowestPercentileMs(1)));
    }

    @Test
    void emptyTimesHaveNoPercentile() {
        PropagationTimes empty = new PropagationTimes();
        empty.add(List.of());
        assertEquals(0, empty.pairs());
        assertTrue(Double.isNaN(empty.percentileMs(1)));
        assertTrue(Double.isNaN(empty.slowestPercentileMs(1)));
    }

    @Test
    void versionIncludesAllEarlierChanges() {
        ControlPlane.Applied change = new ControlPlane.Applied(0, Map.of("all", 3L));
        assertTrue(change.isIncludedIn("all", 3));
        assertFalse(change.isIncludedIn("all", 2));
        assertFalse(change.isIncludedIn("service-1", 9));
    }

    @Test
    void changesBehindAPartitionCountFromItsEnd() {
        Fleet.Change change = new Fleet.Change(new ControlPlane.Applied(100, Map.of()), Map.of(), -1, 100);
        assertEquals(100, change.availableNanos(1));
        assertEquals(100, change.withOrigin(0, 900).availableNanos(0));
        assertEquals(900, change.withOrigin(0, 900).availableNanos(1));
        assertEquals(500, change.withTime(500).availableNanos(1));
    }
}
