package lemonrail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/** Places of weighted members on a ring, the same wherever the same members are known. */
public final class RingPlacement {

    /** Any large odd number: its powers put the members of each ring into another order. */
    private static final long MIX = 0x9E3779B1L;

    /** What is summed up of a group: the weights of all members, and of those before. */
    private static final int ALL = 0;

    private static final int BEFORE = 1;

    private RingPlacement() {}

    /** Where a member of this hash comes on the ring of this number; ring 0 has the hash's own order. */
    public static long order(long hash, int ring) {
        long scatter = 1;
        for (int i = ring; i > 0; i--) {
            scatter *= MIX;
        }
        return hash * scatter & 0xffffffffL;
    }

    /**
     * Tells each member its place, above 0 and up to 1, falling in the given order. In each group the arcs
     * between members are as wide as their weights: by a hash alone they would be very unequal.
     */
    public static <T> void place(
            List<T> inOrder, ToIntFunction<T> group, ToDoubleFunction<T> weight, ObjDoubleConsumer<T> told) {
        Map<Integer, double[]> groups = new HashMap<>();
        double[][] groupOf = new double[inOrder.size()][];
        double[] weights = new double[inOrder.size()];
        int at = 0;
        for (T member : inOrder) {
            groupOf[at] = groups.computeIfAbsent(group.applyAsInt(member), number -> new double[2]);
            weights[at] = weight.applyAsDouble(member);
            groupOf[at][ALL] += weights[at];
            at++;
        }
        at = 0;
        for (T member : inOrder) {
            told.accept(member, 1 - groupOf[at][BEFORE] / groupOf[at][ALL]);
            groupOf[at][BEFORE] += weights[at];
            at++;
        }
    }
}
