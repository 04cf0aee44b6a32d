package lemonrail.core.balancer;

/**
 * The settings for endpoints that have just started.
 *
 * @param initialFraction the fraction of its full load that an endpoint can take when it has just started, above 0
 * @param durationMs the length of an endpoint's warm-up; 0 for no warm-up
 * @param overloadMultiple the multiple of the load that an endpoint can take at which it fails
 * @param overloadWindowMs the time over which that load is measured
 */
public record SlowStartSettings(
        double initialFraction, double durationMs, double overloadMultiple, double overloadWindowMs) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public SlowStartSettings {
        Checks.requirePositive("rules.coldShare", initialFraction);
        Checks.requireFinite("rules.coldShare", initialFraction);
        Checks.requireNonNegative("rules.coldMs", durationMs);
        Checks.requireFinite("rules.coldMs", durationMs);
        Checks.requirePositive("rules.tipMultiple", overloadMultiple);
        Checks.requirePositive("rules.fallMs", overloadWindowMs);
    }

    /**
     * Returns the fraction of its full load that an endpoint can take now. It grows linearly during the warm-up.
     *
     * @param startedMs when the endpoint started; 0 or less if that was long ago
     */
    public double warmUpFraction(double nowMs, double startedMs) {
        return startedMs <= 0 || durationMs <= 0 || nowMs - startedMs >= durationMs
                ? 1
                : initialFraction + (1 - initialFraction) * Math.max(0, nowMs - startedMs) / durationMs;
    }
}
