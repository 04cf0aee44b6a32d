package lemonrail.control;

/** Observes the traffic between a node and its watchers, on the node's event loop, for measurements. */
public interface WatchObserver {

    /**
     * A request has arrived, or a response has been written.
     *
     * @param watcher its name, empty if it gives none
     * @param digest the digest over its entries at its request; null if it gives none, and for responses
     * @param requestBytes the size of the request, with an estimate for the headers; 0 for a response
     * @param responseBytes the same for a response; 0 for a request
     */
    void onTraffic(String watcher, Long digest, int requestBytes, int responseBytes);
}
