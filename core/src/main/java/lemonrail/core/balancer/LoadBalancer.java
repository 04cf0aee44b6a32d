package lemonrail.core.balancer;

import java.util.List;

/**
 * Chooses an endpoint for each attempt, admits or rejects requests and decides on retries. It acts through its
 * {@link LoadBalancerHost}. Each method is called on the event loop, with the host's clock, which never runs backwards.
 */
public interface LoadBalancer {

    /** Takes in an update of the endpoint list. */
    void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> entries);

    /**
     * Takes in a request from a client, to which the balancer now owes one final response.
     *
     * @throws IllegalArgumentException if the request's class or tenant is unknown, or its id is in flight already
     */
    void onRequest(double nowMs, Request request);

    /** Notes that a streamed response has begun; it is the final one. */
    void onResponseStreamStarted(double nowMs, String request, int attempt);

    /** Takes in the result of an attempt. */
    void onAttemptFinished(double nowMs, AttemptResult result);

    /** Notes that the client of a request has gone: it is owed no response. */
    void onRequestCancelled(double nowMs, String request);

    /** Notes that a timer set by {@link LoadBalancerHost#startTimer} is due. */
    void onTimer(double nowMs, long name);

    /** Returns whether {@link #onSettings} has any effect. */
    default boolean supportsSettingsUpdate() {
        return false;
    }

    /**
     * Adopts changed settings and keeps what was learned. They differ from those before at most in objectives,
     * deadlines and weights of the classes, requests per second of the tenants, attempts and Retry-After.
     */
    default void onSettings(double nowMs, BalancerSettings settings) {}

    /** Returns how many endpoints listed as ready get fewer or no requests because of their failures. */
    default int ejectedEndpoints(double nowMs) {
        return 0;
    }
}
