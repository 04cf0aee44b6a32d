package lemonrail.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjDoubleConsumer;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;

/** Places of weighted members on a ring, the same wherever the same members are known. */
public final class Ring {

    /** Any large odd number: its powers put the members of each ring into another order. */
    private static final long MIX = 0x9E3779B1L;

    private Ring() {
    }

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
    public static <T> void place(List<T> inOrder, ToIntFunction<T> group, ToDoubleFunction<T> weight,
            ObjDoubleConsumer<T> told) {
        Map<Integer, Double> weights = new HashMap<>();
        for (T member : inOrder) {
            weights.merge(group.applyAsInt(member), weight.applyAsDouble(member), Double::sum);
        }
        Map<Integer, Double> before = new HashMap<>();
        for (T member : inOrder) {
            int of = group.applyAsInt(member);
            double upTo = before.getOrDefault(of, 0.0);
            told.accept(member, 1 - upTo / weights.get(of));
            before.put(of, upTo + weight.applyAsDouble(member));
        }
    }
}
