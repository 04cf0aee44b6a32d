package lemonrail.exchange;

import lemonrail.metrics.Metrics;
import lemonrail.streaming.BodyPipe;
import lemonrail.time.Clock;

/**
 * Concludes requests and delivers their final responses. The methods require that the request has not been concluded
 * yet.
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

    /** Concludes a request with the response of the endpoint that served it. */
    void deliverResponse(PendingRequest<M, A> request, A response) {
        conclude(request, RequestOutcome.SERVED);
        request.sink().onServed(response);
    }

    /** Concludes a request with the response of an endpoint that rejected it as invalid. */
    void deliverEndpointRejection(PendingRequest<M, A> request, A response) {
        conclude(request, RequestOutcome.REJECTED_BY_ENDPOINT);
        request.sink().onRejectedByEndpoint(response);
    }

    /** Rejects a request that was not executed. */
    void reject(PendingRequest<M, A> request, double retryAfterMs) {
        conclude(request, RequestOutcome.REJECTED);
        request.sink().onRejected(retryAfterMs);
    }

    /** Fails a request as the balancer decided. */
    void fail(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.FAILED);
        request.sink().onFailed();
    }

    /** Fails a request without a decision of the balancer. */
    void abandon(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.ABANDONED);
        request.sink().onFailed();
    }

    /** Concludes a request whose client has disconnected; no response is sent. */
    void concludeDisconnected(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.CLIENT_DISCONNECTED);
    }

    /** Concludes a request whose large response has started to arrive. The caller forwards the head and the body. */
    void concludeStreaming(PendingRequest<M, A> request) {
        conclude(request, RequestOutcome.STREAMING);
    }

    private void conclude(PendingRequest<M, A> request, RequestOutcome outcome) {
        request.markConcluded(outcome);
        log.logRequestConcluded(request, outcome);
        if (clock.now() > request.deadlineMs()) {
            metrics.onLateResponse();
            log.logLateResponse(request, outcome);
        }
        request.cancelDecisionTimeout();
        closeRemainingBody(request);
    }

    /** Discards the rest of a large request body, because no attempt needs it any more. */
    private void closeRemainingBody(PendingRequest<M, A> request) {
        BodyPipe remainingBody = request.message().remainingBody();
        if (remainingBody != null) {
            remainingBody.fail();
            remainingBody.close();
        }
    }
}
