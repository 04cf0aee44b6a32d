package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Predicate;
import lemonrail.core.balancer.LoadBalancerHost;

/** The bounded pool of slots, the lowest rank first, and those next outside it. */
final class SlotPool {

    /** The most slots a pool may hold, whatever the fleet's size: one on each of the largest list. */
    static final int CEILING = 1024;
    /** The fewest it aims for, and the multiple of the recent peak of calls at once that it else does. */
    private static final int FLOOR = 4;

    private static final double HEADROOM = 1.25;
    /** Slots on one server: the width of the mask that marks them. */
    private static final int SLOTS_PER_SERVER = 62;
    /** The least cost of a server, and the factor by which a cost moves before ranks are worked out anew. */
    private static final double CHEAPEST = 0.6;

    private static final double REPRICE = 1.1;
    /** Weight of a new connect in the share that fails, what a pause leaves of it, its worth in rounds. */
    private static final double CONNECT_GAIN = 1.0 / 4;

    private static final double CONNECT_FADE = 0.99;
    private static final double CONNECT_ROUNDS = 4;

    final SlotRanking ranks;
    final SlowStart cold;
    private final ZoneAffinity locality;
    private final LoadBalancerHost host;
    private final List<Slot> slots = new ArrayList<>();
    /** The slots next outside it in order, one a server at most: the own zone's and all others. */
    private final List<Slot> nearSpares = new ArrayList<>();

    private final List<Slot> farSpares = new ArrayList<>();
    /** The recent share of failures among calls that had to open a connection. */
    private double connectFailing;

    SlotPool(SlotRanking ranks, SlowStart cold, ZoneAffinity locality, LoadBalancerHost host) {
        this.ranks = ranks;
        this.cold = cold;
        this.locality = locality;
        this.host = host;
    }

    /** The lowest-ranked usable slot of the pool, else of those outside it while it may grow. */
    Slot lowest(Predicate<Slot> usable) {
        Slot best = null;
        for (Slot slot : slots) {
            if (!slot.busy && (best == null || order(slot, best) < 0) && usable.test(slot)) {
                best = slot;
            }
        }
        return best != null || slots.size() >= CEILING
                ? best
                : lower(first(nearSpares, usable), first(farSpares, usable));
    }

    private static Slot first(List<Slot> spares, Predicate<Slot> usable) {
        return spares.stream().filter(usable).findFirst().orElse(null);
    }

    private Slot firstSpare() {
        return lower(first(nearSpares, slot -> true), first(farSpares, slot -> true));
    }

    private Slot lower(Slot a, Slot b) {
        return a == null || (b != null && order(b, a) < 0) ? b : a;
    }

    /** The order in which calls take slots: by rank, other zones' put back by what locality is worth. */
    private int order(Slot a, Slot b) {
        int order = Double.compare(orderRank(a), orderRank(b));
        return order != 0 ? order : a.compareTo(b);
    }

    /** Slots without a connection come later, the more so the more connects have failed of late. */
    private double orderRank(Slot slot) {
        return slot.rank
                + locality.spill(slot.target)
                + (slot.connected ? 0 : connectFailing * CONNECT_ROUNDS * ranks.settings.balancers());
    }

    void connected(boolean failed) {
        connectFailing += CONNECT_GAIN * ((failed ? 1 : 0) - connectFailing);
    }

    /** Whether the server has another slot with a connection that stands. */
    boolean hasOtherConnected(Slot slot) {
        return slots.stream().anyMatch(s -> s != slot && s.target == slot.target && s.connected);
    }

    /** Takes a spare slot into the pool and offers the server's next; others are there already. */
    void adopt(double now, Slot slot) {
        EndpointRecord target = slot.target;
        if (target.spare == slot) {
            withdraw(target);
            target.held |= 1L << slot.number;
            slots.add(slot);
            offer(now, target);
        }
    }

    /** Takes a slot out; the last one's idle connections are closed with it. */
    void drop(Slot slot) {
        if (slot.discarded) {
            return;
        }
        slot.discarded = true;
        slots.remove(slot);
        slot.target.held &= ~(1L << slot.number);
        if (slot.target.held == 0 && slot.target.inFlight == 0) {
            host.closeIdleConnections(slot.target.id);
        }
    }

    void dropAll(EndpointRecord target) {
        List.copyOf(slots).stream().filter(slot -> slot.target == target).forEach(this::drop);
    }

    /** Puts the server's lowest slot outside the pool into the index, if it may have one more. */
    void offer(double now, EndpointRecord target) {
        withdraw(target);
        int most = target.onTrial || cold.warmth(now, target) < 1 ? 1 : SLOTS_PER_SERVER;
        if (target.forgotten
                || !target.ready
                || Double.isNaN(target.place)
                || now < target.pausedUntil
                || Long.bitCount(target.held) >= most
                || (target.onTrial && target.inFlight > 0)) {
            return;
        }
        Slot slot = new Slot(target, Long.numberOfTrailingZeros(~target.held));
        slot.rank = ranks.rank(slot);
        target.spare = slot;
        slot.spares = ranks.isFar(target) ? farSpares : nearSpares;
        slot.spares.add(-1 - Collections.binarySearch(slot.spares, slot), slot);
    }

    private static void withdraw(EndpointRecord target) {
        if (target.spare != null) {
            target.spare.spares.remove(Collections.binarySearch(target.spare.spares, target.spare));
            target.spare = null;
        }
    }

    /** Moves a server's slots up or down by what it can do: slow, small or cold ones get fewer calls. */
    void reprice(double now, EndpointRecord target, boolean always) {
        double cost = Math.max(CHEAPEST, target.slowness);
        if (!always && cost < target.cost * REPRICE && cost > target.cost / REPRICE) {
            return;
        }
        target.cost = cost;
        if (target.held != 0) {
            slots.stream().filter(s -> s.target == target).forEach(s -> s.rank = ranks.rank(s));
        }
        offer(now, target);
    }

    /** Works all ranks out anew once places are settled, and offers each ready server's next slot. */
    void settle(double now) {
        for (List<Slot> moved : List.of(slots, nearSpares, farSpares)) {
            moved.forEach(slot -> slot.rank = ranks.rank(slot));
        }
        // Their order changes little, which the sort makes use of.
        nearSpares.sort(null);
        farSpares.sort(null);
        ranks.ring.stream().filter(target -> target.spare == null).forEach(target -> offer(now, target));
    }

    /** Refills toward lower ranks, up to what the recent peak of calls at once calls for. */
    void refill(double now, double peak) {
        connectFailing *= CONNECT_FADE;
        double size = Math.min(CEILING, Math.max(FLOOR, Math.ceil(peak * HEADROOM)));
        while (slots.size() < size && firstSpare() != null) {
            adopt(now, firstSpare());
        }
        for (Slot worst = worstFree(); worst != null; worst = worstFree()) {
            boolean over = slots.size() > size;
            if (!over && (firstSpare() == null || order(firstSpare(), worst) >= 0)) {
                return;
            }
            drop(worst);
            offer(now, worst.target);
            if (!over) {
                adopt(now, firstSpare());
            }
        }
    }

    private Slot worstFree() {
        return slots.stream().filter(slot -> !slot.busy).max(this::order).orElse(null);
    }
}
