package lemonrail.core.balancer;

/**
 * A request from a client.
 *
 * @param id unique among the requests in flight
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param deadlineMs when the client stops waiting, on the host's clock
 * @param retriedByClient whether the client marked the request as a retry
 */
public record Request(String id, int requestClass, int tenant, double deadlineMs, boolean retriedByClient) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is missing or out of range
     */
    public Request {
        Checks.requireNonNull("request.id", id);
        Checks.requireFinite("request.deadline", deadlineMs);
    }
}
