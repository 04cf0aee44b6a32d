package lemonrail.exchange;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.Request;

/**
 * A request that is in flight, which means that its final response has not been given or some of its attempts have not
 * finished. Times are in milliseconds; points in time are those of the event loop's {@link lemonrail.time.Clock}.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
final class PendingRequest<M extends ProtocolRequest, A> {

    /** Initial list capacity; most requests have one attempt, some have one retry. */
    private static final int INITIAL_ATTEMPT_CAPACITY = 2;

    private final Request request;
    private final M message;
    private final ResponseSink<A> sink;
    private final List<PendingAttempt> attempts = new ArrayList<>(INITIAL_ATTEMPT_CAPACITY);
    private final double receivedMs;
    private final double clientTimeoutMs;
    private final double maxQueueDelayMs;

    private RequestBodyState bodyState;
    /** When reading of the body stopped; meaningful while the body is held back. */
    private double heldBackSinceMs;

    private double deadlineMs;
    private double retryWindowEndMs = Double.POSITIVE_INFINITY;
    private Future<?> decisionTimeout;
    /** Null until the request is concluded. */
    private RequestOutcome outcome;
    /** The large response that is being forwarded, else null. */
    private StreamedResponse streamedResponse;

    private boolean balancerFailed;
    private int inFlightAttempts;

    /**
     * Creates a request without attempts.
     *
     * @param request the request, with the client's deadline
     * @param nowMs when the request was read
     * @param maxQueueDelayMs the longest time that the request may have waited to be read
     */
    PendingRequest(Request request, M message, ResponseSink<A> sink, double nowMs, double maxQueueDelayMs) {
        this.request = request;
        this.message = message;
        this.sink = sink;
        this.maxQueueDelayMs = maxQueueDelayMs;
        receivedMs = nowMs;
        clientTimeoutMs = request.deadlineMs() - nowMs;
        deadlineMs = request.deadlineMs();
        bodyState = message.isBodyArriving() ? RequestBodyState.AWAITED : RequestBodyState.COMPLETE;
    }

    String id() {
        return request.id();
    }

    int requestClass() {
        return request.requestClass();
    }

    /**
     * Returns the request to pass to the balancer, with the time at which the final response is due as its deadline.
     */
    Request forBalancer(double responseDueMs) {
        return new Request(
                request.id(), request.requestClass(), request.tenant(), responseDueMs, request.retriedByClient());
    }

    M message() {
        return message;
    }

    ResponseSink<A> sink() {
        return sink;
    }

    RequestBodyState bodyState() {
        return bodyState;
    }

    void setBodyState(RequestBodyState bodyState) {
        this.bodyState = bodyState;
    }

    /** Notes that the body is held back; a body that is already held back remains so since the earlier time. */
    void holdBackBody(double sinceMs) {
        if (bodyState != RequestBodyState.HELD_BACK) {
            bodyState = RequestBodyState.HELD_BACK;
            heldBackSinceMs = sinceMs;
        }
    }

    /** Returns whether the body has been held back since this time or longer. */
    boolean isHeldBackSince(double timeMs) {
        return bodyState == RequestBodyState.HELD_BACK && heldBackSinceMs <= timeMs;
    }

    /** Returns when the request was read; for a large request, when the first part of its body was read. */
    double receivedMs() {
        return receivedMs;
    }

    /** Returns how long the client waits, measured from the time at which the request was read. */
    double clientTimeoutMs() {
        return clientTimeoutMs;
    }

    /** Returns the longest time that the request may have waited to be read. */
    double maxQueueDelayMs() {
        return maxQueueDelayMs;
    }

    /** Returns when the client stops waiting; not meaningful while its timeout has not started. */
    double deadlineMs() {
        return deadlineMs;
    }

    void setDeadlineMs(double deadlineMs) {
        this.deadlineMs = deadlineMs;
    }

    /**
     * Returns the latest time at which a retry may start, because endpoints may have discarded the request's
     * idempotency key by then; infinite before the first attempt of a keyed request and for all other requests.
     */
    double retryWindowEndMs() {
        return retryWindowEndMs;
    }

    void setRetryWindowEndMs(double retryWindowEndMs) {
        this.retryWindowEndMs = retryWindowEndMs;
    }

    void setDecisionTimeout(Future<?> decisionTimeout) {
        this.decisionTimeout = decisionTimeout;
    }

    void cancelDecisionTimeout() {
        if (decisionTimeout != null) {
            decisionTimeout.cancel(false);
        }
    }

    boolean isConcluded() {
        return outcome != null;
    }

    void markConcluded(RequestOutcome outcome) {
        this.outcome = outcome;
    }

    /**
     * Returns whether the balancer has thrown an exception while handling this request, so that it may never make a
     * decision.
     */
    boolean hasBalancerFailed() {
        return balancerFailed;
    }

    void markBalancerFailed() {
        balancerFailed = true;
    }

    /** Returns all attempts in the order of their numbers, including finished ones. */
    List<PendingAttempt> attempts() {
        return attempts;
    }

    /** Adds the next attempt, which is in flight until {@link #markAttemptReported}. */
    PendingAttempt addAttempt(String endpoint, double nowMs, double attemptRetryWindowEndMs) {
        PendingAttempt attempt = new PendingAttempt(attempts.size(), endpoint, nowMs, attemptRetryWindowEndMs);
        attempts.add(attempt);
        inFlightAttempts++;
        return attempt;
    }

    /** Notes that the result of an attempt is being reported to the balancer. */
    void markAttemptReported() {
        inFlightAttempts--;
    }

    boolean hasInFlightAttempts() {
        return inFlightAttempts > 0;
    }

    /** Returns the large response that is being forwarded, or null. */
    StreamedResponse streamedResponse() {
        return streamedResponse;
    }

    boolean isStreaming() {
        return streamedResponse != null;
    }

    void startStreaming(StreamedResponse response) {
        streamedResponse = response;
    }

    /** Ends streaming if it is this attempt whose response is being forwarded. */
    void stopStreaming(PendingAttempt attempt) {
        if (streamedResponse != null && streamedResponse.attempt() == attempt) {
            streamedResponse = null;
        }
    }
}
