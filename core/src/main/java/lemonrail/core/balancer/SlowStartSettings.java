package lemonrail.core.balancer;

/**
 * The site's rule on endpoints that have just started.
 *
 * @param initialFraction the fraction of its full load that an endpoint can take at its start, above 0
 * @param durationMs how long an endpoint warms up; 0 if it does not
 * @param overloadMultiple an endpoint fails at this multiple of the load that it can take
 * @param overloadWindowMs the time over which that load is counted
 */
public record SlowStartSettings(
        double initialFraction, double durationMs, double overloadMultiple, double overloadWindowMs) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public SlowStartSettings {
        Checks.positive("rules.coldShare", initialFraction);
        Checks.finite("rules.coldShare", initialFraction);
        Checks.notNegative("rules.coldMs", durationMs);
        Checks.finite("rules.coldMs", durationMs);
        Checks.positive("rules.tipMultiple", overloadMultiple);
        Checks.positive("rules.fallMs", overloadWindowMs);
    }

    /**
     * Returns the fraction of its full load that an endpoint can take now, which grows linearly from its start.
     *
     * @param startedMs when the endpoint started; 0 or less for the distant past
     */
    public double warmUpFraction(double nowMs, double startedMs) {
        return startedMs <= 0 || durationMs <= 0 || nowMs - startedMs >= durationMs
                ? 1
                : initialFraction + (1 - initialFraction) * Math.max(0, nowMs - startedMs) / durationMs;
    }
}
