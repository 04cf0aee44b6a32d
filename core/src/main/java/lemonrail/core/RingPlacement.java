package lemonrail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/** Places weighted members on a ring. All processes with the same members compute the same places. */
public final class RingPlacement {

    /**
     * A large odd number. Each ring multiplies the hashes by its own power of it, so that each ring has a different
     * order.
     */
    private static final long RING_MULTIPLIER = 0x9E3779B1L;

    private static final long ORDER_MASK = 0xffffffffL;

    /** The total weight of a group's members, and the weight of those that are already placed. */
    private static final class GroupWeights {
        private double total;
        private double placed;
    }

    private RingPlacement() {}

    /**
     * Returns the sort key of a member with this hash on the given ring. On ring 0 members are in the order of their
     * hashes.
     */
    public static long order(long hash, int ring) {
        long multiplier = 1;
        for (int i = ring; i > 0; i--) {
            multiplier *= RING_MULTIPLIER;
        }
        return hash * multiplier & ORDER_MASK;
    }

    /**
     * Computes each member's place, above 0 and at most 1, in descending order. Within a group the arc from a member to
     * the next one is proportional to the member's weight. Places taken from the hashes alone would give very unequal
     * arcs.
     *
     * @param membersInOrder the members, in their order on the ring
     * @param group returns the group of a member
     * @param weight returns the weight of a member
     * @param setPlace receives each member and its place
     */
    public static <T> void place(
            List<T> membersInOrder, ToIntFunction<T> group, ToDoubleFunction<T> weight, ObjDoubleConsumer<T> setPlace) {
        Map<Integer, GroupWeights> groups = new HashMap<>();
        GroupWeights[] groupOf = new GroupWeights[membersInOrder.size()];
        double[] weights = new double[membersInOrder.size()];
        int index = 0;
        for (T member : membersInOrder) {
            groupOf[index] = groups.computeIfAbsent(group.applyAsInt(member), number -> new GroupWeights());
            weights[index] = weight.applyAsDouble(member);
            groupOf[index].total += weights[index];
            index++;
        }
        index = 0;
        for (T member : membersInOrder) {
            GroupWeights groupWeights = groupOf[index];
            setPlace.accept(member, 1 - groupWeights.placed / groupWeights.total);
            groupWeights.placed += weights[index];
            index++;
        }
    }
}
