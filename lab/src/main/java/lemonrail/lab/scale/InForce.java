package lemonrail.lab.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** How long changes took until they were in force, over all sidecars that were to have them. */
final class InForce {

    private static final int NANOS = 1_000_000;

    private final List<Double> takenMs = new ArrayList<>();
    private final List<Double> lastMs = new ArrayList<>();
    private int never;

    /** When a sidecar had which version, in the order of time. */
    interface Known {
        /** When it began; what changed before is not asked of it. */
        long sinceNanos();

        int size();

        long atNanos(int place);

        long version(int place);
    }

    /**
     * Takes in one change: each sidecar has it from the first time on at which, after the change, it had a
     * version that has it.
     */
    void add(ControlPlane.Applied change, String list, List<Known> sidecars) {
        double last = 0;
        boolean all = true;
        for (Known sidecar : sidecars) {
            if (sidecar.sinceNanos() > change.atNanos()) {
                continue;
            }
            double ms = Double.NaN;
            for (int i = 0; i < sidecar.size(); i++) {
                if (sidecar.atNanos(i) >= change.atNanos() && change.isIn(list, sidecar.version(i))) {
                    ms = (double) (sidecar.atNanos(i) - change.atNanos()) / NANOS;
                    break;
                }
            }
            if (Double.isNaN(ms)) {
                never++;
                all = false;
            } else {
                takenMs.add(ms);
                last = Math.max(last, ms);
            }
        }
        if (all && !sidecars.isEmpty()) {
            lastMs.add(last);
        }
    }

    int pairs() {
        return takenMs.size() + never;
    }

    int never() {
        return never;
    }

    /** Of all pairs that have it. */
    double percentileMs(double part) {
        return percentile(takenMs, part);
    }

    /** Of the last sidecar of each change. */
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
