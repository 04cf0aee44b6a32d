package lemonrail.lab.scale;

import java.util.Locale;

/**
 * One measured point of a slope.
 *
 * @param subject whose cost this is
 * @param listSize the number of endpoints in the list
 * @param watchers the number of watchers of the control node, if its cost is measured; 0 otherwise
 * @param corePercent processor time, in percent of one core
 * @param bytesPerS payload in both directions
 * @param residentMb the process's resident memory in MiB; NaN if it is not measured
 * @param proportionalMb the same, with memory that processes share divided among them
 * @param controlLagMs lateness of the control plane's event loop, at the 99th percentile
 * @param hollowLagMs lateness of the hollow sidecars' event loops, at the 99th percentile
 * @param isVoid whether the lab was the bottleneck, so that the figures do not count
 */
public record Measurement(
        Subject subject,
        int listSize,
        int watchers,
        double changesPerS,
        double corePercent,
        double bytesPerS,
        double residentMb,
        double proportionalMb,
        double controlLagMs,
        double hollowLagMs,
        boolean isVoid) {

    /** Whose cost is measured. */
    public enum Subject {
        /** A real sidecar: the mean over those with a list of this size. */
        SIDECAR,
        /** A control node. */
        CONTROL,
        /** A hollow sidecar: the mean over all. */
        HOLLOW
    }

    /** The header line for {@link #toCsv}. */
    public static final String CSV_HEADER = "what,listed,watchers,changes_per_s,core_percent,bytes_per_s,"
            + "resident_mb,proportional_mb,control_lag_p99_ms,hollow_lag_p99_ms,void";

    /** Returns the point as a line of CSV. */
    public String toCsv() {
        return String.format(
                Locale.ROOT,
                "%s,%d,%d,%.3f,%.4f,%.1f,%s,%s,%.2f,%.2f,%b",
                subject.name().toLowerCase(Locale.ROOT),
                listSize,
                watchers,
                changesPerS,
                corePercent,
                bytesPerS,
                formatOrBlank(residentMb),
                formatOrBlank(proportionalMb),
                controlLagMs,
                hollowLagMs,
                isVoid);
    }

    private static String formatOrBlank(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.2f", value);
    }
}
