package lemonrail.lab.scale;

import java.util.Locale;

/**
 * One measured point of a slope.
 *
 * @param what whose cost it is
 * @param listed endpoints listed
 * @param watchers of the control node, where it is the control node's
 * @param corePercent processor time, in percent of one core
 * @param bytesPerS payload both ways
 * @param residentMb of the process, NaN where it shares one
 * @param proportionalMb the same, with what is shared among processes shared out
 * @param isVoid the lab was the bottleneck, so the figure is none of this
 */
public record Measurement(
        What what,
        int listed,
        int watchers,
        double changesPerS,
        double corePercent,
        double bytesPerS,
        double residentMb,
        double proportionalMb,
        double controlLagMs,
        double hollowLagMs,
        boolean isVoid) {

    /** Whose cost a point is. */
    public enum What {
        /** A real sidecar, the mean over those of this size. */
        SIDECAR,
        /** A control node. */
        CONTROL,
        /** A hollow sidecar, the mean over all. */
        HOLLOW
    }

    /** The heading of {@link #csv}. */
    public static final String HEADER = "what,listed,watchers,changes_per_s,core_percent,bytes_per_s,"
            + "resident_mb,proportional_mb,control_lag_p99_ms,hollow_lag_p99_ms,void";

    /** As a line of CSV. */
    public String csv() {
        return String.format(
                Locale.ROOT,
                "%s,%d,%d,%.3f,%.4f,%.1f,%s,%s,%.2f,%.2f,%b",
                what.name().toLowerCase(Locale.ROOT),
                listed,
                watchers,
                changesPerS,
                corePercent,
                bytesPerS,
                plain(residentMb),
                plain(proportionalMb),
                controlLagMs,
                hollowLagMs,
                isVoid);
    }

    private static String plain(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.2f", value);
    }
}
