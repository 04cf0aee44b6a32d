package lemonrail.exchange;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.Request;

/**
 * A request in flight: until its final response is given and all its attempts have finished. Times are in milliseconds,
 * instants on the host's clock.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
final class PendingRequest<M extends ProtocolRequest, A> {

    /** Most requests have one attempt, or one retry. */
    private static final int USUAL_ATTEMPTS = 2;

    private final Request request;
    private final M message;
    private final ResponseSink<A> sink;
    private final List<PendingAttempt> attempts = new ArrayList<>(USUAL_ATTEMPTS);
    private final double clientTimeoutMs;
    private final double maxQueueDelayMs;

    private double deadlineMs;
    private double retryWindowEndMs = Double.POSITIVE_INFINITY;
    private Future<?> decisionTimeout;
    /** Null until the request is concluded. */
    private RequestOutcome outcome;
    /** The attempt whose large response is being forwarded, else null. */
    private PendingAttempt streamingAttempt;

    private boolean balancerFailed;
    private int inFlightAttempts;

    /**
     * Creates a request without attempts.
     *
     * @param request with the client's deadline
     * @param nowMs when it was read
     * @param maxQueueDelayMs the longest that it may have waited to be read
     */
    PendingRequest(Request request, M message, ResponseSink<A> sink, double nowMs, double maxQueueDelayMs) {
        this.request = request;
        this.message = message;
        this.sink = sink;
        this.maxQueueDelayMs = maxQueueDelayMs;
        clientTimeoutMs = request.deadlineMs() - nowMs;
        deadlineMs = request.deadlineMs();
    }

    String id() {
        return request.id();
    }

    int requestClass() {
        return request.requestClass();
    }

    /** Returns the request as the balancer sees it, with the deadline by which the final response is due. */
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

    /** Returns how long the client waits, counted from when the request was read. */
    double clientTimeoutMs() {
        return clientTimeoutMs;
    }

    /** Returns the longest that the request may have waited to be read. */
    double maxQueueDelayMs() {
        return maxQueueDelayMs;
    }

    /** Returns when the client stops waiting. */
    double deadlineMs() {
        return deadlineMs;
    }

    void setDeadlineMs(double deadlineMs) {
        this.deadlineMs = deadlineMs;
    }

    /** Returns when endpoints may have forgotten the request's key; infinite before its first attempt. */
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

    void markConcluded(RequestOutcome how) {
        outcome = how;
    }

    /** Returns whether the balancer has thrown an exception over this request, so that no decision can be expected. */
    boolean hasBalancerFailed() {
        return balancerFailed;
    }

    void markBalancerFailed() {
        balancerFailed = true;
    }

    /** Returns all attempts by number, the finished ones included. */
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

    /** Notes that the balancer learns now of an attempt's result. */
    void markAttemptReported() {
        inFlightAttempts--;
    }

    boolean hasInFlightAttempts() {
        return inFlightAttempts > 0;
    }

    PendingAttempt streamingAttempt() {
        return streamingAttempt;
    }

    boolean isStreaming() {
        return streamingAttempt != null;
    }

    void startStreaming(PendingAttempt attempt) {
        streamingAttempt = attempt;
    }

    /** Ends streaming if the response of this attempt is being forwarded. */
    void stopStreaming(PendingAttempt attempt) {
        if (streamingAttempt == attempt) {
            streamingAttempt = null;
        }
    }
}
