package lemonrail.core.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.core.AdmissionRate;
import lemonrail.core.balancer.EndpointState;

/** The budget of servers that have just started. */
final class SlowStart {

    /** The calls that a warm server surely answers in the window of the rule on cold ones. */
    private static final double SURELY = 3 * ConcurrencyLimit.FIRST_CALLS;
    /** The part of the rule's multiple that is sent: the rest is for chance and for what is not known yet. */
    private static final double PACE = 0.5;

    private final SlotRanking ranks;
    final AdmissionRate answers = new AdmissionRate();
    private final Set<EndpointRecord> cold = new LinkedHashSet<>();

    SlowStart(SlotRanking ranks) {
        this.ranks = ranks;
    }

    double warmth(double now, EndpointRecord target) {
        return ranks.settings.slowStart().warmUpFraction(now, target.listed.startedMs());
    }

    /** By low ranks alone all balancers send no more than a cold server bears: docs/design/cold-ramp.md. */
    boolean gentle(double now, Slot slot) {
        double warmth = warmth(now, slot.target);
        double weight = ranks.relativeWeight(slot.target);
        double part = ranks.settings.balancers() * weight / Math.max(1, ranks.ready);
        double multiple = ranks.settings.slowStart().overloadMultiple();
        double ifAllServed = multiple * PACE * part;
        double unknown = Math.min(1, (multiple - 1) * SURELY * weight / ifAllServed);
        double paced = Math.min(part, ifAllServed * answers.share(unknown));
        return warmth >= 1 || ranks.formula(slot) < warmth * Math.max(ConcurrencyLimit.FIRST_CALLS, paced);
    }

    void watch(double now, EndpointRecord target) {
        if (warmth(now, target) < 1) {
            cold.add(target);
        }
    }

    /** What the ready servers can surely do together, in warm ones. */
    double able(double now) {
        return ranks.ready
                - cold.stream()
                        .filter(target -> target.listed.state() == EndpointState.READY)
                        .mapToDouble(target -> (1 - warmth(now, target)) * ranks.relativeWeight(target))
                        .sum();
    }

    /** Tells of each server that is cold or has just become warm. */
    void tick(double now, Consumer<EndpointRecord> told) {
        List.copyOf(cold).forEach(told);
        cold.removeIf(target -> warmth(now, target) >= 1);
    }

    void forget(EndpointRecord target) {
        cold.remove(target);
    }
}
