package lemonrail.exchange;

import lemonrail.metrics.Metrics;
import lemonrail.streaming.BodyPipe;
import lemonrail.time.Clock;

/**
 * Gives requests their one final response. Each method requires that the request has not been concluded.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
final class ResponseDelivery<M extends ProtocolRequest, A> {

    private final Clock clock;
    private final RequestLog log;
    private final Metrics metrics;

    ResponseDelivery(Clock clock, RequestLog log, Metrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Forwards the response of the endpoint that served the request. */
    void served(PendingRequest<M, A> request, A response) {
        conclude(request, RequestOutcome.SERVED);
        request.sink().served(response);
    }

    /** Forwards the response by which an endpoint rejected the request as invalid. */
    void rejectedByEndpoint(PendingRequest<M, A> request, A response) {
        conclude(request, RequestOutcome.REJECTED_BY_ENDPOINT);
        request.sink().rejectedByEndpoint(response);
    }

    /** Rejects a request that was not executed. */
    void shed(PendingRequest<M, A> request, double retryAfterMs) {
        conclude(request, RequestOutcome.SHED);
        request.sink().rejected(retryAfterMs);
    }

    /** Fails a request by the balancer's decision. */
    void failed(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.FAILED);
        request.sink().failed();
    }

    /** Fails a request without a decision of the balancer. */
    void abandoned(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.ABANDONED);
        request.sink().failed();
    }

    /** Concludes a request whose client has disconnected; it gets no response. */
    void clientDisconnected(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.CLIENT_DISCONNECTED);
    }

    /** Concludes a request whose large response has begun. The caller forwards its head and body. */
    void streaming(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.STREAMING);
    }

    private void conclude(PendingRequest<M, A> request, RequestOutcome outcome) {
        request.markConcluded(outcome);
        log.requestConcluded(request, outcome);
        if (clock.now() > request.deadlineMs()) {
            metrics.onLateResponse();
            log.lateResponse(request, outcome);
        }
        request.cancelDecisionTimeout();
        closeRemainingBody(request);
    }

    /** Discards what is still to come of a large body: no attempt needs it any more. */
    private void closeRemainingBody(PendingRequest<M, A> request) {
        BodyPipe remainingBody = request.message().remainingBody();
        if (remainingBody != null) {
            remainingBody.fail();
            remainingBody.close();
        }
    }
}
