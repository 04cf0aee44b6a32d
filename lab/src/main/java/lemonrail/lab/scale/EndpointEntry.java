package lemonrail.lab.scale;

import java.util.Locale;

/**
 * What control says of one endpoint.
 *
 * @param rack what the platform calls its cell
 * @param startedMs Unix time, 0 for long ago
 */
public record EndpointEntry(
        String id, String address, String zone, int rack, State state, long startedMs, double weight) {

    /** What is said of an endpoint, in discovery's words. */
    public enum State {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** The same endpoint in another state. */
    public EndpointEntry with(State other) {
        return new EndpointEntry(id, address, zone, rack, other, startedMs, weight);
    }

    /** The same endpoint, of another weight. */
    public EndpointEntry weighing(double other) {
        return new EndpointEntry(id, address, zone, rack, state, startedMs, other);
    }

    /** The endpoint after a restart. */
    public EndpointEntry started(long atMs) {
        return new EndpointEntry(id, address, zone, rack, State.IN_SERVICE, atMs, weight);
    }

    /** As discovery writes it. */
    String json() {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + address + "\",\"zone\":\"" + zone
                + "\",\"kind\":\"std\",\"cell\":" + rack + ",\"state\":\""
                + state.name().toLowerCase(Locale.ROOT)
                + "\",\"weight\":" + weight + ",\"started_ms\":" + startedMs + "}";
    }
}
