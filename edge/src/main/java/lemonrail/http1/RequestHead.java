package lemonrail.http1;

import lemonrail.core.balancer.Request;

/**
 * The fields of a request's head that the load balancer decides by.
 *
 * @param requestClass index of its class in the settings
 * @param tenant index of its tenant in the settings
 * @param waitMs how long its client waits, bounded by its class
 * @param retriedByClient whether the client says that it has sent the request before
 */
record RequestHead(String id, int requestClass, int tenant, double waitMs, boolean retriedByClient)
        implements MappedHead {

    /**
     * Returns the request for the load balancer.
     *
     * @param arrivedAtMs the earliest that the request can have arrived, from which its client waits
     * @param latestDeadlineMs when requests must be over, whatever their clients allow
     */
    Request toRequest(double arrivedAtMs, double latestDeadlineMs) {
        double deadlineMs = Math.min(arrivedAtMs + waitMs, latestDeadlineMs);
        return new Request(id, requestClass, tenant, deadlineMs, retriedByClient);
    }
}
