package lemonrail.core.balancer;

/**
 * The settings for draining endpoints.
 *
 * @param graceMs how long a balancer may still send requests to an endpoint after it has been notified of the
 *     endpoint's drain
 */
public record DrainSettings(double graceMs) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if it is below 0
     */
    public DrainSettings {
        Checks.requireNonNegative("rules.drainGrace", graceMs);
    }
}
