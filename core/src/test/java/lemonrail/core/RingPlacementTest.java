package lemonrail.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks the order and the arcs of ring placement. */
class RingPlacementTest {

    @Test
    void arcsAreProportionalToWeightsInEachGroup() {
        Map<String, Double> places = new HashMap<>();
        RingPlacement.place(
                List.of("a1", "b1", "a2", "a3"),
                name -> name.charAt(0),
                name -> Character.digit(name.charAt(1), 10),
                places::put);
        assertEquals(1, places.get("a1"));
        assertEquals(1 - 1 / 6.0, places.get("a2"), 1e-12);
        assertEquals(1 - 3 / 6.0, places.get("a3"), 1e-12);
        assertEquals(1, places.get("b1"));
    }

    @Test
    void ringsHaveDifferentOrders() {
        List<Long> hashes =
                IntStream.range(0, 50).mapToObj(i -> StableHash.of("s" + i)).toList();
        assertEquals(
                hashes,
                hashes.stream().map(hash -> RingPlacement.order(hash, 0)).toList());
        List<Long> first = hashes.stream()
                .sorted(Comparator.comparing(h -> RingPlacement.order(h, 1)))
                .toList();
        List<Long> second = hashes.stream()
                .sorted(Comparator.comparing(h -> RingPlacement.order(h, 2)))
                .toList();
        assertNotEquals(first, second);
    }
}
