package lemonrail.http1;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.http1.ClientMessage.IncomingRequest;
import lemonrail.http1.ClientMessage.RequestError;
import lemonrail.lifecycle.Lifecycle;

/**
 * Routes client requests by their path: API requests to the dispatcher, while all others get a response of the sidecar
 * itself.
 */
final class ClientRequestRouter {

    private static final String API_PATH = "/api";
    private static final String READINESS_PATH = "/health/ready";
    private static final double OVER_LIMIT_RETRY_AFTER_MS = 1000;
    private static final RequestError DUPLICATE_ID =
            new RequestError(HttpResponseStatus.CONFLICT, "X-Request-Id is that of a request in hand");

    private final RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher;
    private final RequestHeadMapper headMapper;
    private final Lifecycle lifecycle;

    ClientRequestRouter(
            RequestDispatcher<RequestMessage, UpstreamResponse> dispatcher,
            RequestHeadMapper headMapper,
            Lifecycle lifecycle) {
        this.dispatcher = dispatcher;
        this.headMapper = headMapper;
        this.lifecycle = lifecycle;
    }

    /** Handles a request that was received on a connection. The response may be ready before this method returns. */
    void route(ClientConnection connection, IncomingRequest request, PendingResponse response) {
        response.setKeepAlive(HttpUtil.isKeepAlive(request.head()));
        switch (pathOf(request.head().uri())) {
            case API_PATH -> dispatch(connection, request, response);
            case READINESS_PATH -> response.respond(readinessStatus(), lifecycle.description());
            default -> response.respond(HttpResponseStatus.NOT_FOUND, "unknown path");
        }
    }

    private static String pathOf(String uri) {
        int query = uri.indexOf('?');
        return query < 0 ? uri : uri.substring(0, query);
    }

    private HttpResponseStatus readinessStatus() {
        return lifecycle.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
    }

    private void dispatch(ClientConnection connection, IncomingRequest request, PendingResponse response) {
        response.setRequestClass(headMapper.requestClass(request.head()));
        if (!request.isStreamed()) {
            response.onRequestRead();
        }
        MappedHead mapped = headMapper.map(request.head());
        if (mapped instanceof RequestError error) {
            response.respondAndStopReading(error);
        } else if (mapped instanceof RequestHead head) {
            dispatch(connection, head, request, response);
        }
    }

    private void dispatch(
            ClientConnection connection, RequestHead head, IncomingRequest request, PendingResponse response) {
        if (dispatcher.isDuplicate(head.id(), head.requestClass())) {
            response.respondAndStopReading(DUPLICATE_ID);
        } else if (connection.isOverLimit()) {
            response.setKeepAlive(false);
            response.onRejected(OVER_LIMIT_RETRY_AFTER_MS);
        } else {
            response.setRequestId(head.id());
            connection.onRequestDispatched();
            dispatcher.dispatch(connection.toRequest(head, response), toRequestMessage(request), response);
        }
    }

    private static RequestMessage toRequestMessage(IncomingRequest request) {
        HttpRequest head = request.head();
        HttpHeaders headers = RequestHeadMapper.endToEndHeaders(head);
        if (!request.isStreamed() && request.body().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        } else if (request.isStreamed() && !HttpUtil.isContentLengthSet(head)) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return new RequestMessage(head.method(), head.uri(), headers, request.body(), request.remainingBody());
    }
}
