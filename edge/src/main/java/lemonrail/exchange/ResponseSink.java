package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * Receives the final response to one request. Exactly one of the methods is called, exactly once, on the event loop. No
 * method is called after {@link RequestDispatcher#onClientDisconnected}.
 *
 * @param <A> the protocol's responses
 */
public interface ResponseSink<A> {

    /** Called with the response of the endpoint that served the request. */
    void onServed(A response);

    /**
     * Called with the head of a large response, whose body follows through a pipe.
     *
     * @param body the pipe that carries the body; the sink sets its consumer, and closes it if the client disconnects
     */
    void onStreamStarted(A head, BodyPipe body);

    /**
     * Called with the response of an endpoint that rejected the request as invalid. It is not retried, because no other
     * endpoint would accept it.
     */
    void onRejectedByEndpoint(A response);

    /**
     * Called when the request was shed; it has not been executed.
     *
     * @param retryAfterMs the delay in milliseconds after which the client may retry, or 0 to give no advice
     */
    void onRejected(double retryAfterMs);

    /** Called when the request failed; it may have been executed. */
    void onFailed();
}
