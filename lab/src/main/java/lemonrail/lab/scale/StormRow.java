package lemonrail.lab.scale;

import java.util.Locale;

/**
 * The result of a storm.
 *
 * @param pairs the number of pairs of a change and a sidecar that should apply it
 * @param neverApplied the number of pairs in which the sidecar did not apply the change before the timeout
 * @param p50Ms time from a change until it is in force, over all pairs
 * @param maxMs the longest such time
 * @param slowestP50Ms the same for the slowest sidecar of each change
 * @param realMaxMs the longest time at a real sidecar, until the watch call that shows that it has the change
 * @param upToDateCount the number of hollow sidecars whose load balancers have the current list at the end
 * @param hollowCount the number of hollow sidecars
 * @param fullListCount the number of full snapshots that hollow sidecars received
 * @param hollowCpuMs processor time of a hollow sidecar, on average
 * @param realCpuPercent processor time of a real sidecar over the storm, on average, in percent of one core
 * @param realBytesPerS payload of a real sidecar in both directions over the storm, on average
 * @param realPeakBytesPerS the most bytes that any real sidecar transferred within one second
 * @param controlLagMs lateness of the control plane's event loop, at the 99th percentile
 * @param hollowLagMs lateness of the hollow sidecars' event loops, at the 99th percentile
 * @param note why the storm is void, missed its targets or is not carried; empty otherwise
 */
public record StormRow(
        ScaleScenario.Storm storm,
        int sidecars,
        int changes,
        double lengthMs,
        int pairs,
        int neverApplied,
        double p50Ms,
        double p99Ms,
        double maxMs,
        double slowestP50Ms,
        double realMaxMs,
        int upToDateCount,
        int hollowCount,
        int fullListCount,
        double controlCpuPercent,
        double controlBytesPerS,
        long controlPeakBytesPerS,
        double hollowCpuMs,
        double realCpuPercent,
        double realBytesPerS,
        long realPeakBytesPerS,
        double realResidentMb,
        double controlLagMs,
        double hollowLagMs,
        Verdict verdict,
        String note) {

    /** Whether the targets were met, or why this is not known. */
    public enum Verdict {
        MET,
        MISSED,
        VOID,
        NOT_CARRIED;

        /** Returns the verdict as reports show it. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** The header line for {@link #toCsv}. */
    public static final String CSV_HEADER = "storm,listed,sidecars,changes,length_ms,pairs,never,p50_ms,p99_ms,"
            + "most_ms,last_sidecar_p50_ms,real_most_ms,knowing,hollow,whole_lists,control_core_percent,"
            + "control_bytes_per_s,control_peak_bytes_per_s,hollow_cpu_ms,real_core_percent,real_bytes_per_s,"
            + "real_peak_bytes_per_s,real_resident_mb,control_lag_p99_ms,hollow_lag_p99_ms,verdict,note";

    /** Returns the storm's name, as a scenario file has it. */
    public String name() {
        return storm.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the result as a line of CSV. */
    public String toCsv() {
        return name() + "," + storm.scope().name().toLowerCase(Locale.ROOT) + "," + sidecars + "," + changes
                + "," + formatOrBlank(lengthMs) + "," + pairs + "," + neverApplied + "," + formatOrBlank(p50Ms) + ","
                + formatOrBlank(p99Ms)
                + ","
                + formatOrBlank(maxMs) + "," + formatOrBlank(slowestP50Ms) + "," + formatOrBlank(realMaxMs) + ","
                + upToDateCount + ","
                + hollowCount + "," + fullListCount + "," + formatOrBlank(controlCpuPercent) + ","
                + formatOrBlank(controlBytesPerS) + ","
                + controlPeakBytesPerS + "," + formatOrBlank(hollowCpuMs) + "," + formatOrBlank(realCpuPercent) + ","
                + formatOrBlank(realBytesPerS) + "," + realPeakBytesPerS + "," + formatOrBlank(realResidentMb) + ","
                + formatOrBlank(controlLagMs) + "," + formatOrBlank(hollowLagMs) + ","
                + verdict.name().toLowerCase(Locale.ROOT) + ",\"" + note.replace('"', '\'') + "\"";
    }

    private static String formatOrBlank(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.2f", value);
    }
}
