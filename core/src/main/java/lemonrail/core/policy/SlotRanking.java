package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import lemonrail.core.RingPlacement;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;

/** The ranks of slots, by the design's formula, and the servers' places on the ring that it rests on. */
final class SlotRanking {

    /** A multiple of its usual cost moves a server back by this part of a round of ranks. */
    private static final double STEP_BACK = 0.5;

    final BalancerSettings settings;
    /** The ready servers and those that were so when places were last settled, in order as of then. */
    final List<EndpointRecord> ring = new ArrayList<>();

    private double meanWeight = 1;
    /** Changes of the list since then that move places. */
    int unsettled;
    /** Servers that discovery calls ready; those of the own zone, as of when places were settled. */
    int ready;

    int readyInZone;

    SlotRanking(BalancerSettings settings) {
        this.settings = settings;
    }

    /** Takes in what discovery says of a server: who is ready counts at once, places wait to be settled. */
    void list(EndpointRecord target, Endpoint entry) {
        boolean isReady = entry.state() == EndpointState.READY;
        if (target.ready != isReady
                || (isReady && (entry.weight() != target.listed.weight() || entry.zone() != target.listed.zone()))) {
            unsettled++;
        }
        ready += (isReady ? 1 : 0) - (target.ready ? 1 : 0);
        target.listed = entry;
        target.ready = isReady;
        target.place = isReady ? target.place : Double.NaN;
        if (isReady && !target.onRing) {
            target.onRing = true;
            ring.add(target);
        }
    }

    /** Gives each ready server its place. */
    void settle() {
        unsettled = 0;
        readyInZone = 0;
        ring.forEach(target -> target.onRing = target.ready);
        ring.removeIf(target -> !target.ready);
        // Several rings where balancers outnumber servers: who leaves a full one must not crowd the next.
        int number = settings.balancerIndex()
                % Integer.highestOneBit(Math.max(1, settings.balancers() / Math.max(1, ready)));
        double weights = 0;
        for (EndpointRecord target : ring) {
            readyInZone += isFar(target) ? 0 : 1;
            weights += target.listed.weight();
            target.ringOrder = RingPlacement.order(target.hash, number);
        }
        meanWeight = ready == 0 || weights <= 0 ? 1 : weights / ready;
        // Nearly in order since the last time, which the sort makes use of.
        ring.sort(Comparator.comparingLong((EndpointRecord target) -> target.ringOrder)
                .thenComparing(t -> t.id));
        RingPlacement.place(
                ring,
                target -> target.listed.zone(),
                this::relativeWeight,
                (target, place) -> target.place = settings.balancers() * place);
    }

    /** The rank a slot is used by: the formula's times the server's cost, which moves the lowest too. */
    double rank(Slot slot) {
        return (formula(slot) + 0.5) * slot.target.cost
                + Math.max(0, slot.target.cost - 1) * settings.balancers() * STEP_BACK;
    }

    /** The design's rank: the calls the server holds if every balancer uses its slots up to this one. */
    double formula(Slot slot) {
        int balancers = settings.balancers();
        return slot.number * balancers / relativeWeight(slot.target)
                + (settings.balancerIndex() + slot.target.place) % balancers;
    }

    double relativeWeight(EndpointRecord target) {
        return settings.weighted() && target.listed.weight() > 0 ? target.listed.weight() / meanWeight : 1;
    }

    boolean isFar(EndpointRecord target) {
        return target.listed.zone() != settings.zone();
    }
}
