package lemonrail.core.balancer;

/**
 * The site's rule on draining endpoints.
 *
 * @param graceMs how long after it was notified of a drain a balancer may still send requests to the endpoint
 */
public record DrainSettings(double graceMs) {

    /**
     * Checks the value.
     *
     * @throws IllegalArgumentException if it is below 0
     */
    public DrainSettings {
        Checks.notNegative("rules.drainGrace", graceMs);
    }
}
