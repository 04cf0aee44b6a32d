package lemonrail.lab.scale;

import java.util.Locale;

/**
 * An endpoint's entry in an endpoint list.
 *
 * @param rack the number of its rack, which the platform calls a cell
 * @param startedMs when it started, in Unix time; 0 for long ago
 */
public record EndpointEntry(
        String id, String address, String zone, int rack, State state, long startedMs, double weight) {

    /** An endpoint's state, by its name in the discovery protocol. */
    public enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** Returns a copy with another state. */
    public EndpointEntry withState(State newState) {
        return new EndpointEntry(id, address, zone, rack, newState, startedMs, weight);
    }

    /** Returns a copy with another weight. */
    public EndpointEntry withWeight(double newWeight) {
        return new EndpointEntry(id, address, zone, rack, state, startedMs, newWeight);
    }

    /** Returns the entry after a restart at this time: in service, with the new start time. */
    public EndpointEntry restartedAt(long newStartedMs) {
        return new EndpointEntry(id, address, zone, rack, State.IN_SERVICE, newStartedMs, weight);
    }

    /** Returns the entry as JSON of the discovery protocol. */
    String toJson() {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"std\",\"cell\":" + rack + ",\"state\":\""
                + state.name().toLowerCase(Locale.ROOT)
                + "\",\"weight\":" + weight + ",\"started_ms\":" + startedMs + "}";
    }
}
