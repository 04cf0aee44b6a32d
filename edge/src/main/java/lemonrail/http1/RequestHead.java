package lemonrail.http1;

import lemonrail.core.balancer.Request;

/**
 * The fields of a request's head that the load balancer needs for its decisions.
 *
 * @param requestClass the index of the request's class in the settings
 * @param tenant the index of the request's tenant in the settings
 * @param clientTimeoutMs how long the client waits, in milliseconds, limited by the deadline of the class
 * @param retriedByClient whether the client has marked the request as a retry
 */
record RequestHead(String id, int requestClass, int tenant, double clientTimeoutMs, boolean retriedByClient)
        implements MappedHead {

    /**
     * Returns the request to pass to the load balancer.
     *
     * @param arrivedAtMs the earliest time at which the request can have arrived; the client's timeout starts then
     * @param latestDeadlineMs the latest deadline of any request
     */
    Request toRequest(double arrivedAtMs, double latestDeadlineMs) {
        double deadlineMs = Math.min(arrivedAtMs + clientTimeoutMs, latestDeadlineMs);
        return new Request(id, requestClass, tenant, deadlineMs, retriedByClient);
    }
}
