package lemonrail.lab.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** How long changes took until they were in force, over all sidecars that were to have them. */
final class PropagationTimes {

    private final List<Double> takenMs = new ArrayList<>();
    private final List<Double> lastMs = new ArrayList<>();
    private int never;

    /** Takes in one change: how long it took at each sidecar, NaN where it never was in force. */
    void add(List<Double> eachMs) {
        List<Double> had = eachMs.stream().filter(ms -> !ms.isNaN()).toList();
        takenMs.addAll(had);
        never += eachMs.size() - had.size();
        if (!had.isEmpty() && had.size() == eachMs.size()) {
            lastMs.add(had.stream().mapToDouble(ms -> ms).max().orElseThrow());
        }
    }

    int pairs() {
        return takenMs.size() + never;
    }

    int never() {
        return never;
    }

    /** Of all pairs that have it; NaN if there are none. */
    double percentileMs(double part) {
        return percentile(takenMs, part);
    }

    /** Of the last sidecar of each change that all have; NaN if there are none. */
    double lastPercentileMs(double part) {
        return percentile(lastMs, part);
    }

    private static double percentile(List<Double> values, double part) {
        if (values.isEmpty()) {
            return Double.NaN;
        }
        double[] sorted = values.stream().mapToDouble(value -> value).toArray();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1, Math.max(0, Math.ceil(part * sorted.length) - 1))];
    }
}
