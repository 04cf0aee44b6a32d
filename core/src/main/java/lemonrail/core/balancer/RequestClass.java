package lemonrail.core.balancer;

/**
 * A class of requests.
 *
 * @param name the class's name in the settings
 * @param latencyObjectiveMs the response time wanted, above 0
 * @param deadlineMs the time after which a client gives up, above 0
 * @param priorityWeight what a response within the objective is worth, relative to other classes
 * @param lateResponseWeight what a response after the objective and before the deadline is worth
 * @param idempotency whether a request may be sent again
 * @param deduplicationScope which endpoints drop the repeats of keyed requests
 * @param deduplicationWindowMs how long these endpoints remember a keyed request
 * @param stream whether responses are streamed
 */
public record RequestClass(
        String name,
        double latencyObjectiveMs,
        double deadlineMs,
        double priorityWeight,
        double lateResponseWeight,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs,
        boolean stream) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public RequestClass {
        Checks.positive("classes[].aim", latencyObjectiveMs);
        Checks.finite("classes[].aim", latencyObjectiveMs);
        Checks.positive("classes[].deadline", deadlineMs);
        Checks.finite("classes[].deadline", deadlineMs);
        Checks.notNegative("classes[].worth", priorityWeight);
        Checks.finite("classes[].worth", priorityWeight);
        Checks.notNegative("classes[].lateWorth", lateResponseWeight);
        Checks.given("classes[].effect", idempotency);
        Checks.given("classes[].group", deduplicationScope);
        if (idempotency == Idempotency.KEYED) {
            Checks.positive("classes[].window", deduplicationWindowMs);
        }
    }

    /** Returns whether a request that may have run may still be rejected, which tells the client to repeat it. */
    public boolean mayRejectAfterExecution() {
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && deduplicationScope == DeduplicationScope.ALL);
    }
}
