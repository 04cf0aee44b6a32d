package lemonrail.exchange;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.discovery.EndpointList;
import lemonrail.streaming.BodyPipe;

/**
 * The endpoint side of a protocol: connects, writes attempts and reports their outcomes. It makes no decisions and
 * never retries. All methods, and all those of its listeners, are called on the event loop.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
public interface Upstream<M extends ProtocolRequest, A> {

    /** One request on its way to an endpoint. */
    interface Attempt {
        /** Returns whether the last byte may have been written. Until then the request cannot have been executed. */
        boolean mayHaveExecuted();

        /**
         * Stops waiting for the response. The listener is not called any more.
         *
         * @return whether the request may have been executed
         */
        boolean cancel();
    }

    /**
     * Is notified of the progress of one attempt.
     *
     * @param <A> the protocol's responses
     */
    interface AttemptListener<A> {
        /**
         * Returns whether the first byte may still be written. It is called when a connection has been established for
         * the attempt; if it returns false, the attempt finishes with {@link AttemptOutcome#CONNECT_ERROR}.
         */
        boolean mayStart();

        /** Is called when the last byte has been written: from here on the request may be executed. */
        void onRequestWritten();

        /**
         * Is called when a large response has begun; {@link #onFinished} still follows.
         *
         * @param body brings the body; the listener sets its consumer or closes it
         */
        void onResponseStreamStarted(A head, BodyPipe body);

        /**
         * Is called once, when the attempt has ended.
         *
         * @param response null unless a whole response was read; with {@link AttemptOutcome#IGNORED} the response by
         *     which the endpoint rejected the request as invalid
         */
        void onFinished(AttemptOutcome outcome, A response);
    }

    /** Adopts the addresses of a full list or of changes to it. */
    void updateEndpoints(EndpointList list);

    /**
     * Sends a request once. The listener may be notified of the attempt's end before this returns.
     *
     * @param timeoutMs the attempt timeout that the endpoint is told; the caller cancels the attempt when it is over
     */
    Attempt startAttempt(String endpoint, M request, double timeoutMs, AttemptListener<A> listener);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpoint);

    /** Sets how many connections may be open at once. Idle ones are closed to make room for new ones. */
    void setMaxConnections(int connections);

    /** Returns how many endpoints have an address. */
    int endpointCount();

    /** Closes all idle connections and stops their upkeep. */
    void close();
}
