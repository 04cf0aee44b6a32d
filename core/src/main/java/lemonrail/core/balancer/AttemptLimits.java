package lemonrail.core.balancer;

/**
 * The platform's limits on attempts.
 *
 * @param maxAttempts the maximum number of attempts per request, at least 1
 * @param parallelAttempts whether a request may have two attempts in flight
 * @param cancel whether an attempt in flight may be cancelled
 * @param maxRetryAfterMs the longest Retry-After that a rejection may carry
 * @param connectTimeoutMs the time after which a connect counts as failed
 */
public record AttemptLimits(
        int maxAttempts, boolean parallelAttempts, boolean cancel, double maxRetryAfterMs, double connectTimeoutMs) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public AttemptLimits {
        Checks.requirePositive("limits.tries", maxAttempts);
        Checks.requireFinite("limits.maxCoolDown", maxRetryAfterMs);
        Checks.requireFinite("limits.connectTimeout", connectTimeoutMs);
        Checks.requireNonNegative("limits.maxCoolDown", maxRetryAfterMs);
        Checks.requirePositive("limits.connectTimeout", connectTimeoutMs);
    }
}
