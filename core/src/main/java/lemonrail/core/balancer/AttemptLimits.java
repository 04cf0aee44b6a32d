package lemonrail.core.balancer;

/**
 * The bounds that the site sets to attempts.
 *
 * @param maxAttempts the most attempts a request may have, at least 1
 * @param parallelAttempts whether a request may have two attempts in flight
 * @param cancel whether an attempt in flight may be cancelled
 * @param maxRetryAfterMs the longest Retry-After that a rejection may carry
 * @param connectTimeoutMs the time after which a connect has failed
 */
public record AttemptLimits(
        int maxAttempts, boolean parallelAttempts, boolean cancel, double maxRetryAfterMs, double connectTimeoutMs) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public AttemptLimits {
        Checks.positive("limits.tries", maxAttempts);
        Checks.finite("limits.maxCoolDown", maxRetryAfterMs);
        Checks.finite("limits.connectTimeout", connectTimeoutMs);
        Checks.notNegative("limits.maxCoolDown", maxRetryAfterMs);
        Checks.positive("limits.connectTimeout", connectTimeoutMs);
    }
}
