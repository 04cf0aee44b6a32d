package lemonrail.exchange;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.Request;

/**
 * A request that the exchange has taken and whose final answer, or one of whose attempts, is still to end.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's answers
 */
final class PendingRequest<M extends ProtocolRequest, A> {
    final Request request;
    final M message;
    final ResponseSink<A> client;
    final List<PendingAttempt> attempts = new ArrayList<>(2);
    /** What the client waits, from when its request is read. */
    final double waitMs;
    /** The longest that the request can have waited to be read. */
    final double unreadMs;
    /** When the client stops waiting. */
    double deadline;

    Future<?> overdue;
    boolean concluded;
    /** The module has failed over it: nothing is to be hoped for from it any more. */
    boolean moduleFailed;
    /** The attempt whose large answer is being passed on. */
    PendingAttempt stream;
    /** When endpoints may have forgotten its key. */
    double windowEnds = Double.POSITIVE_INFINITY;
    /** Attempts whose end the module has not been told yet. */
    int out;

    PendingRequest(double now, double unreadMs, Request request, M message, ResponseSink<A> client) {
        this.unreadMs = unreadMs;
        waitMs = request.deadlineMs() - now;
        deadline = request.deadlineMs();
        this.request = request;
        this.message = message;
        this.client = client;
    }
}
