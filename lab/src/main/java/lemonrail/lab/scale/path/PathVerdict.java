package lemonrail.lab.scale.path;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Whether a sidecar meets the target for added latency.
 *
 * @param isComplete whether all measurements that the verdict needs exist and none of them is void
 * @param missedTargets the targets that were missed, each with its figure
 */
record PathVerdict(boolean isComplete, List<String> missedTargets) {

    /** The users' target: the maximum latency in ms that a sidecar may add to a call, at the 99th percentile. */
    static final double MAX_ADDED_MS = 0.42;

    /** The measurements at one rate, all rounds merged. */
    record Comparison(int rate, PathRow direct, PathRow relay, PathRow sidecar) {

        /**
         * Returns the latency that the sidecar adds at a percentile in ms. The difference of two percentiles is not
         * the percentile of the differences; the chain's steps, which measure the difference for each call, show
         * how large the error is.
         */
        double addedMs(double percentile) {
            return sidecar.latencyMs(percentile) - direct.latencyMs(percentile);
        }

        /** Returns the same for the relay. */
        double addedByRelayMs(double percentile) {
            return relay.latencyMs(percentile) - direct.latencyMs(percentile);
        }

        boolean isVoid() {
            return direct.isVoid() || relay.isVoid() || sidecar.isVoid();
        }
    }

    /** Judges the measurements at each rate, and the steps of a chain. */
    static PathVerdict of(List<Comparison> comparisons, List<PathRow> steps) {
        List<String> missedTargets = new ArrayList<>();
        boolean isComplete = !comparisons.isEmpty() && !steps.isEmpty();
        for (Comparison comparison : comparisons) {
            isComplete &= !comparison.isVoid();
            checkAddedLatency(missedTargets, comparison.rate + " calls/s", comparison.addedMs(99));
            if (comparison.sidecar.hasUnservedCalls()) {
                missedTargets.add(comparison.rate + " calls/s: " + comparison.sidecar.served() + " of "
                        + comparison.sidecar.sent() + " served");
            }
        }
        for (PathRow step : steps) {
            isComplete &= !step.isVoid();
            checkAddedLatency(missedTargets, "step " + step.step() + " of the chain", step.latencyMs(99));
        }
        return new PathVerdict(isComplete, missedTargets);
    }

    private static void checkAddedLatency(List<String> missedTargets, String subject, double addedMs) {
        if (!(addedMs <= MAX_ADDED_MS)) {
            missedTargets.add(String.format(
                    Locale.ROOT, "%s: %.3f ms added at p99, above %.2f ms", subject, addedMs, MAX_ADDED_MS));
        }
    }

    /** Returns whether the measurements are complete and all targets were met. */
    boolean isMet() {
        return isComplete && missedTargets.isEmpty();
    }
}
