package lemonrail.core.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.core.Contract.Settings;
import lemonrail.core.Contract.State;

/** The budget of servers that have just started. */
final class Cold {

    private final Settings settings;
    private final Ranks ranks;
    private final Set<Target> cold = new LinkedHashSet<>();

    Cold(Settings settings, Ranks ranks) {
        this.settings = settings;
        this.ranks = ranks;
    }

    double warmth(double now, Target target) {
        return settings.rules().warmth(now, target.listed.startedMs());
    }

    /** Ranks count all balancers' calls: by low ranks alone they send no more than a cold server can do. */
    boolean gentle(double now, Slot slot) {
        double warmth = warmth(now, slot.target);
        return warmth >= 1 || ranks.formula(slot) < warmth * Math.max(Limit.FIRST_CALLS,
            settings.balancers() * ranks.relativeWeight(slot.target) / Math.max(1, ranks.ready));
    }

    void watch(double now, Target target) {
        if (warmth(now, target) < 1) {
            cold.add(target);
        }
    }

    /** What the ready servers can surely do together, in warm ones. */
    double able(double now) {
        return ranks.ready - cold.stream().filter(target -> target.listed.state() == State.READY)
            .mapToDouble(target -> (1 - warmth(now, target)) * ranks.relativeWeight(target)).sum();
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
