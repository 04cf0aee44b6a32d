package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * The slots that the pool may add next, at most one per endpoint. Slots of the own zone and of other zones are in
 * separate lists, each sorted by rank.
 */
final class CandidateSlots {

    private final List<Slot> ownZone = new ArrayList<>();
    private final List<Slot> otherZones = new ArrayList<>();

    /** Adds a slot as its endpoint's candidate. */
    void add(Slot slot) {
        List<Slot> candidates = listOf(slot);
        candidates.add(-1 - Collections.binarySearch(candidates, slot), slot);
        slot.endpoint().setCandidate(slot);
    }

    /**
     * Removes the endpoint's candidate, if it has one. It is found by its rank, which must not have changed since it
     * was added.
     */
    void remove(EndpointRecord endpoint) {
        Slot slot = endpoint.candidate();
        if (slot != null) {
            List<Slot> candidates = listOf(slot);
            candidates.remove(Collections.binarySearch(candidates, slot));
            endpoint.setCandidate(null);
        }
    }

    private List<Slot> listOf(Slot slot) {
        return slot.wasOfferedInOwnZone() ? ownZone : otherZones;
    }

    /** Returns the first candidate in this order across zones, or null if there is none. */
    Slot first(Comparator<Slot> order) {
        return firstOf(head(ownZone), head(otherZones), order);
    }

    /** Returns the first usable candidate in this order across zones, or null if there is none. */
    Slot first(Predicate<Slot> usable, Comparator<Slot> order) {
        return firstOf(firstUsable(ownZone, usable), firstUsable(otherZones, usable), order);
    }

    private static Slot head(List<Slot> candidates) {
        return candidates.isEmpty() ? null : candidates.get(0);
    }

    private static Slot firstUsable(List<Slot> candidates, Predicate<Slot> usable) {
        return candidates.stream().filter(usable).findFirst().orElse(null);
    }

    private static Slot firstOf(Slot one, Slot other, Comparator<Slot> order) {
        if (one == null || other == null) {
            return one == null ? other : one;
        }
        return order.compare(other, one) < 0 ? other : one;
    }

    /** Updates the ranks of all candidates. */
    void rerank(ToDoubleFunction<Slot> rank) {
        for (List<Slot> candidates : List.of(ownZone, otherZones)) {
            candidates.forEach(slot -> slot.setRank(rank.applyAsDouble(slot)));
            // The order changes little, which makes this sort fast.
            candidates.sort(null);
        }
    }
}
