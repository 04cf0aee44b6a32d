package lemonrail.lab.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** How long changes took until they were in force, over all sidecars that they concern. */
final class PropagationTimes {

    private final List<Double> appliedMs = new ArrayList<>();
    private final List<Double> slowestMs = new ArrayList<>();
    private int neverApplied;

    /** Adds one change: how long it took at each sidecar, NaN where it was never in force. */
    void add(List<Double> timesMs) {
        List<Double> applied = timesMs.stream().filter(ms -> !ms.isNaN()).toList();
        appliedMs.addAll(applied);
        neverApplied += timesMs.size() - applied.size();
        if (!applied.isEmpty() && applied.size() == timesMs.size()) {
            slowestMs.add(applied.stream().mapToDouble(ms -> ms).max().orElseThrow());
        }
    }

    int pairs() {
        return appliedMs.size() + neverApplied;
    }

    int neverApplied() {
        return neverApplied;
    }

    /**
     * Returns a percentile over all pairs of a change and a sidecar that has applied it; NaN if there are none.
     *
     * @param fraction 0.5 for the median
     */
    double percentileMs(double fraction) {
        return percentile(appliedMs, fraction);
    }

    /**
     * Returns a percentile over the changes that all sidecars have applied, each with the time of its slowest
     * sidecar; NaN if there are none.
     */
    double slowestPercentileMs(double fraction) {
        return percentile(slowestMs, fraction);
    }

    private static double percentile(List<Double> values, double fraction) {
        if (values.isEmpty()) {
            return Double.NaN;
        }
        double[] sorted = values.stream().mapToDouble(value -> value).toArray();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1, Math.max(0, Math.ceil(fraction * sorted.length) - 1))];
    }
}
