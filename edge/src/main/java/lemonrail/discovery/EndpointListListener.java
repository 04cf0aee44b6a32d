package lemonrail.discovery;

/** Receives the endpoint lists of a watch. */
@FunctionalInterface
public interface EndpointListListener {
    /** Called on the event loop for each full snapshot and each delta. */
    void onEndpointList(EndpointList list);
}
