package lemonrail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/** Places weighted members on a ring, the same in every process that has the same members. */
public final class RingPlacement {

    /** A large odd number: each ring's power of it puts the members into another order. */
    private static final long RING_MULTIPLIER = 0x9E3779B1L;

    private static final long ORDER_MASK = 0xffffffffL;

    /** The weights of the members of a group. */
    private static final class GroupWeights {
        private double total;
        private double placed;
    }

    private RingPlacement() {}

    /** Returns the order of a member with this hash on the ring of this number; ring 0 has the order of hashes. */
    public static long order(long hash, int ring) {
        long multiplier = 1;
        for (int i = ring; i > 0; i--) {
            multiplier *= RING_MULTIPLIER;
        }
        return hash * multiplier & ORDER_MASK;
    }

    /**
     * Computes each member's place, above 0 and at most 1, which falls in the given order. Within a group the arcs
     * between members are as wide as their weights; places by hash alone would make them very unequal.
     *
     * @param membersInOrder the members, in their order on the ring
     * @param group the group of a member
     * @param weight the weight of a member
     * @param setPlace takes each member and its place
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
