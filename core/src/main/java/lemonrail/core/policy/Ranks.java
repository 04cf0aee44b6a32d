package lemonrail.core.policy;

import java.util.Comparator;
import java.util.List;
import lemonrail.core.Contract.Settings;
import lemonrail.core.Ring;

/** The ranks of slots, by the design's formula, and the servers' places on the ring that it rests on. */
final class Ranks {

    /** A multiple of its usual cost moves a server back by this part of a round of ranks. */
    private static final double STEP_BACK = 0.5;

    private final Settings settings;
    private double meanWeight = 1;
    /** Servers that discovery calls ready, in all and in the own zone. */
    int ready;
    int readyInZone;

    Ranks(Settings settings) {
        this.settings = settings;
    }

    /** Takes in the ready servers, and gives each its place. */
    void settle(List<Target> known) {
        ready = known.size();
        readyInZone = 0;
        double weights = 0;
        for (Target target : known) {
            readyInZone += isFar(target) ? 0 : 1;
            weights += target.listed.weight();
        }
        meanWeight = ready == 0 || weights <= 0 ? 1 : weights / ready;
        known.sort(Comparator.comparingLong(this::ringOrder).thenComparing(t -> t.id));
        Ring.place(known, target -> target.listed.zone(), this::relativeWeight,
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
            + (settings.ownNumber() + slot.target.place) % balancers;
    }

    double relativeWeight(Target target) {
        return settings.weighted() && target.listed.weight() > 0 ? target.listed.weight() / meanWeight : 1;
    }

    boolean isFar(Target target) {
        return target.listed.zone() != settings.ownZone();
    }

    /** Several rings where balancers outnumber servers: who leaves a full one must not crowd the next. */
    private long ringOrder(Target target) {
        int rings = Integer.highestOneBit(Math.max(1, settings.balancers() / Math.max(1, ready)));
        return Ring.order(target.hash, settings.ownNumber() % rings);
    }
}
