package lemonrail.lab.scale;

import java.util.Locale;

/**
 * What a storm came to.
 *
 * @param pairs changes times sidecars that were to have them
 * @param never of these, those that did not within the time the run waits
 * @param p50Ms from change to in force, over all pairs
 * @param slowestP50Ms the same for the last sidecar of each change
 * @param realMostMs the longest at a real sidecar, by the call with which it asked on
 * @param knowing hollow sidecars whose deciders had control's list in the end
 * @param wholeLists whole lists that hollow sidecars were told
 * @param hollowCpuMs processor time of a hollow sidecar, in the mean
 * @param realCpuPercent of one core, a real sidecar in the mean over the storm
 * @param realBytesPerS payload of a real sidecar both ways, in the mean over the storm
 * @param realPeakBytesPerS the most within a second at any real sidecar
 * @param note why, where it is void, missed or not carried
 */
public record StormRow(
        ScaleScenario.Storm storm,
        int sidecars,
        int changes,
        double lengthMs,
        int pairs,
        int never,
        double p50Ms,
        double p99Ms,
        double mostMs,
        double slowestP50Ms,
        double realMostMs,
        int knowing,
        int hollow,
        int wholeLists,
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

    /** Whether the targets were met. */
    public enum Verdict {
        MET,
        MISSED,
        VOID,
        NOT_CARRIED;

        /** In words for people. */
        public String word() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** The heading of {@link #csv}. */
    public static final String HEADER = "storm,listed,sidecars,changes,length_ms,pairs,never,p50_ms,p99_ms,"
            + "most_ms,last_sidecar_p50_ms,real_most_ms,knowing,hollow,whole_lists,control_core_percent,"
            + "control_bytes_per_s,control_peak_bytes_per_s,hollow_cpu_ms,real_core_percent,real_bytes_per_s,"
            + "real_peak_bytes_per_s,real_resident_mb,control_lag_p99_ms,hollow_lag_p99_ms,verdict,note";

    /** Its name. */
    public String name() {
        return storm.kind().name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** As a line of CSV. */
    public String csv() {
        return name() + "," + storm.listed().name().toLowerCase(Locale.ROOT) + "," + sidecars + "," + changes
                + "," + plain(lengthMs) + "," + pairs + "," + never + "," + plain(p50Ms) + "," + plain(p99Ms)
                + ","
                + plain(mostMs) + "," + plain(slowestP50Ms) + "," + plain(realMostMs) + "," + knowing + ","
                + hollow + "," + wholeLists + "," + plain(controlCpuPercent) + "," + plain(controlBytesPerS) + ","
                + controlPeakBytesPerS + "," + plain(hollowCpuMs) + "," + plain(realCpuPercent) + ","
                + plain(realBytesPerS) + "," + realPeakBytesPerS + "," + plain(realResidentMb) + ","
                + plain(controlLagMs) + "," + plain(hollowLagMs) + ","
                + verdict.name().toLowerCase(Locale.ROOT) + ",\"" + note.replace('"', '\'') + "\"";
    }

    private static String plain(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.2f", value);
    }
}
