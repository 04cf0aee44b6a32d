package lemonrail.core.balancer;

/**
 * Carries out a balancer's decisions, in the order of the calls. A balancer calls it only from within its own
 * events, on the event loop.
 */
public interface LoadBalancerHost {

    /** Starts the request's next attempt; attempts are numbered from 0. */
    void startAttempt(String request, String endpoint, double timeoutMs);

    /** Gives the final response: rejected, and safe to send again after the delay. */
    void reject(String request, double retryAfterMs);

    /** Gives the final response: failed, with nothing said about whether the request ran. */
    void fail(String request);

    /** Gives up waiting for one attempt. */
    void cancelAttempt(String request, int attempt);

    /** Starts a timer that ends in {@link LoadBalancer#onTimer}. */
    void startTimer(double delayMs, long name);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpoint);

    /** Polls the endpoint list, and keeps it up to date from then on. */
    void pollEndpoints();

    /** Logs a line for the operators. */
    void log(String line);
}
