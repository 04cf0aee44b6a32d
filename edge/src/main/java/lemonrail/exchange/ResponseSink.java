package lemonrail.exchange;

import lemonrail.streaming.BodyPipe;

/**
 * Receives the final response to one request. Exactly one method is called, once, on the event loop; none is called
 * after {@link RequestDispatcher#onClientDisconnected}.
 *
 * @param <A> the protocol's responses
 */
public interface ResponseSink<A> {

    /** Gives the response of the endpoint that served the request. */
    void served(A response);

    /**
     * Gives the head of a large response; no other response follows.
     *
     * @param body brings the body; the sink sets its consumer, and closes it if the client disconnects
     */
    void streamStarted(A head, BodyPipe body);

    /** Gives the response of an endpoint that rejected the request as invalid; no other endpoint would accept it. */
    void rejectedByEndpoint(A response);

    /**
     * Says that the request was shed and was not executed.
     *
     * @param retryAfterMs the delay after which the client may retry, or 0 for no advice
     */
    void rejected(double retryAfterMs);

    /** Says that the request failed; it may have been executed. */
    void failed();
}
