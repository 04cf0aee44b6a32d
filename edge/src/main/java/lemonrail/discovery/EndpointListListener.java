package lemonrail.discovery;

/** Receives the endpoint lists of a watch. */
@FunctionalInterface
public interface EndpointListListener {
    /** A full snapshot or a delta has arrived; called on the event loop. */
    void onEndpointList(EndpointList list);
}
