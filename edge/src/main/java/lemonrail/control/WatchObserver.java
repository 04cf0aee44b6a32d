package lemonrail.control;

/** Observes the traffic between a node and its watchers, on the node's event loop, for measurements. */
public interface WatchObserver {

    /**
     * Called when a request has arrived and when a response is about to be written.
     *
     * @param watcher the watcher's name, empty if it sent none
     * @param digest the digest over the watcher's entries; null if the request has none, and for a response
     * @param requestBytes the size of the request with an estimate for the headers; 0 for a response
     * @param responseBytes the size of the response with an estimate for the headers; 0 for a request
     */
    void onTraffic(String watcher, Long digest, int requestBytes, int responseBytes);
}
