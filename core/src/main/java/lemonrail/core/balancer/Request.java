package lemonrail.core.balancer;

/**
 * A request from a client.
 *
 * @param id unique among the requests in flight
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param deadlineMs when the client gives up, on the host's clock
 * @param retriedByClient whether the client says that it has sent the request before
 */
public record Request(String id, int requestClass, int tenant, double deadlineMs, boolean retriedByClient) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is missing or out of range
     */
    public Request {
        Checks.given("request.id", id);
        Checks.finite("request.deadline", deadlineMs);
    }
}
