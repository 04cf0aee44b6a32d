package lemonrail.http1;

import lemonrail.exchange.RequestDispatcher;
import lemonrail.http1.ClientMessage.RequestError;

/**
 * The large request of a client connection whose body is still being read, if there is one. It has been passed on with
 * the first part of its body; the rest is read as fast as an endpoint accepts it. Confined to the connection's event
 * loop.
 */
final class ClientUpload {

    private final RequestDispatcher<?, ?> dispatcher;
    /** The response to the request, or null if no body is being read. */
    private PendingResponse response;
    /** Whether reading the body is paused because the endpoint currently accepts no more of it. */
    private boolean paused;
    /** Whether reading has been paused since everything that had arrived was last read. */
    private boolean heldBack;

    ClientUpload(RequestDispatcher<?, ?> dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Notes that the rest of the body of a request is being read from now on. */
    void start(PendingResponse pending) {
        response = pending;
        heldBack = false;
    }

    /** Returns whether the body of a request is being read. */
    boolean isActive() {
        return response != null;
    }

    /** Returns whether it is the body of the request of this response that is being read. */
    boolean belongsTo(PendingResponse other) {
        return response == other;
    }

    boolean isPaused() {
        return paused;
    }

    /** Notes that reading the body is paused or resumed. */
    void setReading(boolean reading) {
        boolean pausedNow = !reading && !paused;
        paused = !reading;
        heldBack |= paused;
        if (pausedNow && inFlightRequestId() != null) {
            dispatcher.onRequestBodyPaused(inFlightRequestId());
        }
    }

    /** Notes that the request has been dispatched, possibly after reading its body has been paused. */
    void onDispatched() {
        if (paused && inFlightRequestId() != null) {
            dispatcher.onRequestBodyPaused(inFlightRequestId());
        }
    }

    /** Returns whether the body is read on after a pause, and may not have caught up with what has arrived. */
    boolean isCatchingUp() {
        return response != null && heldBack && !paused;
    }

    /** Notes that everything that has arrived on the connection has been read. */
    void onInputDrained() {
        heldBack = false;
        if (inFlightRequestId() != null) {
            dispatcher.onRequestBodyCaughtUp(inFlightRequestId());
        }
    }

    /** Notes that the body has been read completely. */
    void complete() {
        PendingResponse completed = response;
        response = null;
        paused = false;
        completed.onRequestRead();
        if (completed.inFlightRequestId() != null) {
            dispatcher.onRequestBodyReceived(completed.inFlightRequestId());
        }
    }

    /** Notes that the body cannot be read to its end. The request gets an error response unless it has a response. */
    void fail(RequestError error) {
        String requestId = inFlightRequestId();
        if (requestId != null) {
            PendingResponse truncated = response;
            dispatcher.onClientDisconnected(requestId);
            truncated.respondAndStopReading(error);
        }
    }

    private String inFlightRequestId() {
        return response == null ? null : response.inFlightRequestId();
    }
}
