package lemonrail.core.balancer;

/**
 * One entry of the endpoint list.
 *
 * @param id the endpoint's id, unique in the list
 * @param zone the number of its zone
 * @param kind the number of its machine type
 * @param cell the number of its cell
 * @param startedMs when its process started, on the host's clock; 0 if that was long ago
 * @param state its state in the endpoint list
 * @param weight its capacity relative to other endpoints; 0 if unknown
 */
public record Endpoint(String id, int zone, int kind, int cell, double startedMs, EndpointState state, double weight) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is missing or out of range
     */
    public Endpoint {
        Checks.requireNonNull("server.id", id);
        Checks.requireNonNull("server.state", state);
        Checks.requireFinite("server.started", startedMs);
        Checks.requireFinite("server.weight", weight);
        Checks.requireNonNegative("server.weight", weight);
    }

    /** Returns a copy of this endpoint in the given state. */
    public Endpoint withState(EndpointState newState) {
        return new Endpoint(id, zone, kind, cell, startedMs, newState, weight);
    }
}
