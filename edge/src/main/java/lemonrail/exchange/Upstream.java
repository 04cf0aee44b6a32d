package lemonrail.exchange;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.discovery.EndpointList;
import lemonrail.streaming.BodyPipe;

/**
 * The endpoint side of a protocol: opens connections, writes attempts and reports their outcomes. It makes no decisions
 * and never retries. All its methods, and all methods of its listeners, are called on the event loop.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
public interface Upstream<M extends ProtocolRequest, A> {

    /** One request that is being sent to an endpoint. */
    interface Attempt {
        /**
         * Returns whether the last byte of the request may have been written. Before that, the endpoint cannot have
         * executed it.
         */
        boolean mayHaveExecuted();

        /**
         * Cancels the attempt. The listener is not called any more.
         *
         * @return whether the request may have been executed
         */
        boolean cancel();
    }

    /**
     * Receives the progress of one attempt.
     *
     * @param <A> the protocol's responses
     */
    interface AttemptListener<A> {
        /**
         * Returns whether the first byte may still be written. Called when a connection has been established for the
         * attempt. If the result is false, the attempt finishes with {@link AttemptOutcome#CONNECT_ERROR}, unless it
         * has been cancelled.
         */
        boolean mayStart();

        /** Called when the last byte has been written. From now on the endpoint may execute the request. */
        void onRequestWritten();

        /**
         * Called when a large response has started to arrive. {@link #onFinished} is still called at the end.
         *
         * @param body the pipe that carries the body; the listener sets its consumer or closes it
         */
        void onResponseStreamStarted(A head, BodyPipe body);

        /**
         * Called once, when the attempt has ended.
         *
         * @param response the response, or null unless a complete response was read; with
         *     {@link AttemptOutcome#IGNORED}, the response by which the endpoint rejected the request as invalid
         */
        void onFinished(AttemptOutcome outcome, A response);
    }

    /** Applies a snapshot or a delta of the endpoint list to the known addresses. */
    void updateEndpoints(EndpointList list);

    /**
     * Sends a request once. The listener may be notified of the attempt's end before this returns.
     *
     * @param timeoutMs the attempt timeout, which is sent to the endpoint; the caller cancels the attempt when the
     *     timeout has passed
     */
    Attempt startAttempt(String endpoint, M request, double timeoutMs, AttemptListener<A> listener);

    /** Closes the idle connections to an endpoint. */
    void closeIdleConnections(String endpoint);

    /**
     * Sets the maximum number of open connections. At the maximum, idle connections are closed to make room for new
     * ones.
     */
    void setMaxConnections(int connections);

    /** Returns how many endpoints have an address. */
    int endpointCount();

    /** Closes all idle connections and stops the periodic check for them. */
    void close();
}
