package lemonrail.core.balancer;

/**
 * Carries out a balancer's decisions, in the order of the calls. A balancer calls it only while it handles an event, on
 * the event loop.
 */
public interface LoadBalancerHost {

    /** Starts the request's next attempt; attempts are numbered from 0. */
    void startAttempt(String request, String endpoint, double timeoutMs);

    /** Rejects the request as its final response. The client may safely send it again after the delay. */
    void reject(String request, double retryAfterMs);

    /** Fails the request as its final response, which does not say whether the request ran. */
    void fail(String request);

    /** Cancels an attempt in flight. */
    void cancelAttempt(String request, int attempt);

    /** Starts a timer whose expiry calls {@link LoadBalancer#onTimer}. */
    void startTimer(double delayMs, long name);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpoint);

    /** Polls the endpoint list, and keeps it up to date from then on. */
    void pollEndpoints();

    /** Logs a line for operators. */
    void log(String line);
}
