package lemonrail.core.balancer;

/**
 * A class of requests.
 *
 * @param name the class's name in the settings
 * @param latencyObjectiveMs the target response time, above 0
 * @param deadlineMs the time after which a client stops waiting, above 0
 * @param priorityWeight the value of a response within the objective, relative to other classes
 * @param lateResponseWeight the value of a response after the objective but before the deadline
 * @param idempotency whether a request that may have run may be sent again
 * @param deduplicationScope the endpoints that recognise and drop the repeats of a keyed request
 * @param deduplicationWindowMs how long these endpoints recognise repeats of a keyed request
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
        Checks.requirePositive("classes[].aim", latencyObjectiveMs);
        Checks.requireFinite("classes[].aim", latencyObjectiveMs);
        Checks.requirePositive("classes[].deadline", deadlineMs);
        Checks.requireFinite("classes[].deadline", deadlineMs);
        Checks.requireNonNegative("classes[].worth", priorityWeight);
        Checks.requireFinite("classes[].worth", priorityWeight);
        Checks.requireNonNegative("classes[].lateWorth", lateResponseWeight);
        Checks.requireNonNull("classes[].effect", idempotency);
        Checks.requireNonNull("classes[].group", deduplicationScope);
        if (idempotency == Idempotency.KEYED) {
            Checks.requirePositive("classes[].window", deduplicationWindowMs);
        }
    }

    /** Returns whether a request that may have run may be rejected. A rejection allows the client to send it again. */
    public boolean mayRejectAfterExecution() {
        return idempotency == Idempotency.IDEMPOTENT
                || (idempotency == Idempotency.KEYED && deduplicationScope == DeduplicationScope.ALL);
    }
}
