package lemonrail.core.balancer;

import java.util.List;

/**
 * Chooses an endpoint for each attempt, admits or rejects requests and decides on retries. It acts through its
 * {@link LoadBalancerHost}. All methods are called on the event loop. Their {@code nowMs} is the time on the host's
 * monotonic clock.
 */
public interface LoadBalancer {

    /** Applies an update of the endpoint list. */
    void onEndpointUpdate(double nowMs, EndpointUpdateKind kind, List<Endpoint> entries);

    /**
     * Handles a request from a client, which must get exactly one final response.
     *
     * @throws IllegalArgumentException if the request's class or tenant is unknown, or its id is in flight already
     */
    void onRequest(double nowMs, Request request);

    /** Handles the start of a streamed response, which is the request's final response. */
    void onResponseStreamStarted(double nowMs, String request, int attempt);

    /** Handles the result of an attempt. */
    void onAttemptFinished(double nowMs, AttemptResult result);

    /** Handles the loss of a request's client. The request no longer needs a response. */
    void onRequestCancelled(double nowMs, String request);

    /** Handles the expiry of a timer set by {@link LoadBalancerHost#startTimer}. */
    void onTimer(double nowMs, long name);

    /** Returns whether {@link #onSettings} has any effect. */
    default boolean supportsSettingsUpdate() {
        return false;
    }

    /**
     * Applies changed settings and keeps the collected statistics. Only these values may differ from the previous
     * settings: latency objectives, deadlines and weights of the classes, requests per second of the tenants, maximum
     * attempts and maximum Retry-After.
     */
    default void onSettings(double nowMs, BalancerSettings settings) {}

    /** Returns how many requests may be in flight at present; infinite if there is no limit. */
    default double concurrencyLimit() {
        return Double.POSITIVE_INFINITY;
    }

    /** Returns the number of ready endpoints that get fewer or no requests because of their failures. */
    default int ejectedEndpoints(double nowMs) {
        return 0;
    }
}
