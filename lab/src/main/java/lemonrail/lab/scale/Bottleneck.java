package lemonrail.lab.scale;

import java.util.Locale;

/**
 * Whether the lab itself was what a measurement shows. The control stand-in must be quick beside what is
 * measured; the hollow sidecars share cores that real ones don't, so what they add to a time must be small
 * against what is allowed.
 */
public final class Bottleneck {

    /** Of a loop's own core: beyond it its work queues up. */
    static final double MOST_BUSY = 0.9;
    /** The control stand-in's lateness, 99 in 100. */
    static final double MOST_CONTROL_LAG_MS = 100;
    /** The hollow sidecars' lateness, 99 in 100, as a part of the time in which a change must be in force. */
    static final double MOST_HOLLOW_LAG_PART = 1.0 / 3;

    private Bottleneck() {}

    /**
     * Why a time that is too long is none of control's, or empty where it is: hollow sidecars that were late
     * at any time in a storm may have been so just when a change came.
     */
    public static String whyLate(double hollowLagMostMs, double inForceMs) {
        return hollowLagMostMs <= inForceMs * MOST_HOLLOW_LAG_PART
                ? ""
                : String.format(
                        Locale.ROOT, "the hollow sidecars' loops were late by %.0f ms at most", hollowLagMostMs);
    }

    /** Why a measurement is void, or empty where it counts. */
    public static String why(
            double lengthMs,
            ControlPlane.Cost control,
            double hollowLagP99Ms,
            double hollowMostCpuMs,
            double inForceMs) {
        if (control.lagP99Ms() > MOST_CONTROL_LAG_MS) {
            return String.format(Locale.ROOT, "control's stand-in was late by %.0f ms", control.lagP99Ms());
        }
        if (control.cpuMs() > lengthMs * MOST_BUSY) {
            return String.format(
                    Locale.ROOT, "control's stand-in was busy %.0f %% of the time", 100 * control.cpuMs() / lengthMs);
        }
        if (hollowLagP99Ms > inForceMs * MOST_HOLLOW_LAG_PART) {
            return String.format(Locale.ROOT, "the hollow sidecars' loops were late by %.0f ms", hollowLagP99Ms);
        }
        if (hollowMostCpuMs > lengthMs * MOST_BUSY) {
            return String.format(
                    Locale.ROOT,
                    "a hollow sidecars' loop was busy %.0f %% of the time",
                    100 * hollowMostCpuMs / lengthMs);
        }
        return "";
    }
}
