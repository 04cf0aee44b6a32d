package lemonrail.core.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.core.Contract.State;
import lemonrail.core.ServedShare;

/** The budget of servers that have just started. */
final class Cold {

    /** The calls that a warm server surely answers in the window of the rule on cold ones. */
    private static final double SURELY = 3 * Limit.FIRST_CALLS;
    /** The part of the rule's multiple that is sent: the rest is for chance and for what is not known yet. */
    private static final double PACE = 0.5;

    private final Ranks ranks;
    final ServedShare answers = new ServedShare();
    private final Set<Target> cold = new LinkedHashSet<>();

    Cold(Ranks ranks) {
        this.ranks = ranks;
    }

    double warmth(double now, Target target) {
        return ranks.settings.rules().warmth(now, target.listed.startedMs());
    }

    /** By low ranks alone all balancers send no more than a cold server bears: docs/design/cold-ramp.md. */
    boolean gentle(double now, Slot slot) {
        double warmth = warmth(now, slot.target);
        double weight = ranks.relativeWeight(slot.target);
        double part = ranks.settings.balancers() * weight / Math.max(1, ranks.ready);
        double multiple = ranks.settings.rules().tipMultiple();
        double ifAllServed = multiple * PACE * part;
        double unknown = Math.min(1, (multiple - 1) * SURELY * weight / ifAllServed);
        double paced = Math.min(part, ifAllServed * answers.share(unknown));
        return warmth >= 1 || ranks.formula(slot) < warmth * Math.max(Limit.FIRST_CALLS, paced);
    }

    void watch(double now, Target target) {
        if (warmth(now, target) < 1) {
            cold.add(target);
        }
    }

    /** What the ready servers can surely do together, in warm ones. */
    double able(double now) {
        return ranks.ready
                - cold.stream()
                        .filter(target -> target.listed.state() == State.READY)
                        .mapToDouble(target -> (1 - warmth(now, target)) * ranks.relativeWeight(target))
                        .sum();
    }

    /** Tells of each server that is cold or has just become warm. */
    void tick(double now, Consumer<Target> told) {
        List.copyOf(cold).forEach(told);
        cold.removeIf(target -> warmth(now, target) >= 1);
    }

    void forget(Target target) {
        cold.remove(target);
    }
}
