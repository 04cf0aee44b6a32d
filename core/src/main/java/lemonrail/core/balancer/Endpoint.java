package lemonrail.core.balancer;

/**
 * One entry of the endpoint list.
 *
 * @param id the endpoint's id, unique in the list
 * @param zone the zone it stands in
 * @param kind its kind of machine
 * @param cell its cell within the zone
 * @param startedMs when its process started, on the host's clock; 0 for the distant past
 * @param state the state in which it is listed
 * @param weight its capacity relative to other endpoints; 0 if not given
 */
public record Endpoint(String id, int zone, int kind, int cell, double startedMs, EndpointState state, double weight) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is missing or out of range
     */
    public Endpoint {
        Checks.given("server.id", id);
        Checks.given("server.state", state);
        Checks.finite("server.started", startedMs);
        Checks.finite("server.weight", weight);
        Checks.notNegative("server.weight", weight);
    }

    /** Returns the same endpoint in another state. */
    public Endpoint withState(EndpointState other) {
        return new Endpoint(id, zone, kind, cell, startedMs, other, weight);
    }
}
