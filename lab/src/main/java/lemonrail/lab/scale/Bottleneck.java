package lemonrail.lab.scale;

import java.util.Locale;

/**
 * Decides whether a measurement is void because the lab itself was the bottleneck. The control plane has to respond
 * quickly in comparison with what is measured. Hollow sidecars share cores, which real ones do not, so the delay
 * that this adds has to be small in comparison with the allowed propagation time.
 */
public final class Bottleneck {

    /** The maximum share of a core that an event loop may use; above it work queues up. */
    static final double MAX_LOOP_UTILIZATION = 0.9;
    /** The maximum lateness of the control plane's event loop, at the 99th percentile. */
    static final double MAX_CONTROL_LAG_P99_MS = 100;
    /**
     * The maximum lateness of the hollow sidecars' event loops, at the 99th percentile, as a fraction of the
     * allowed propagation time.
     */
    static final double MAX_HOLLOW_LAG_P99_FRACTION = 1.0 / 3;

    private Bottleneck() {}

    /**
     * Returns why a propagation time above the target is not the control plane's fault, or an empty string if it
     * is. If the hollow sidecars' event loops were late at any time in a storm, they may have been late just when a
     * change arrived.
     */
    public static String findLatenessReason(double hollowMaxLagMs, double maxPropagationMs) {
        return hollowMaxLagMs <= maxPropagationMs * MAX_HOLLOW_LAG_P99_FRACTION
                ? ""
                : String.format(Locale.ROOT, "the hollow sidecars' loops were late by %.0f ms at most", hollowMaxLagMs);
    }

    /** Returns why a measurement is void, or an empty string if it is valid. */
    public static String findVoidReason(
            double durationMs,
            ControlPlane.Cost control,
            double hollowLagP99Ms,
            double hollowMaxLoopCpuMs,
            double maxPropagationMs) {
        if (control.lagP99Ms() > MAX_CONTROL_LAG_P99_MS) {
            return String.format(Locale.ROOT, "control's stand-in was late by %.0f ms", control.lagP99Ms());
        }
        if (control.cpuMs() > durationMs * MAX_LOOP_UTILIZATION) {
            return String.format(
                    Locale.ROOT, "control's stand-in was busy %.0f %% of the time", 100 * control.cpuMs() / durationMs);
        }
        if (hollowLagP99Ms > maxPropagationMs * MAX_HOLLOW_LAG_P99_FRACTION) {
            return String.format(Locale.ROOT, "the hollow sidecars' loops were late by %.0f ms", hollowLagP99Ms);
        }
        if (hollowMaxLoopCpuMs > durationMs * MAX_LOOP_UTILIZATION) {
            return String.format(
                    Locale.ROOT,
                    "a hollow sidecars' loop was busy %.0f %% of the time",
                    100 * hollowMaxLoopCpuMs / durationMs);
        }
        return "";
    }
}
