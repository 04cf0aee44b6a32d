package lemonrail.lab.host;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Locale;
import lemonrail.lab.model.ClientRequest;

/** HTTP requests that clients and endpoints send to sidecars. */
final class RequestMessages {

    private static final String ID = "X-Request-Id";
    private static final String CLASS = "X-Class";
    private static final String TENANT = "X-Tenant";
    private static final String DEADLINE = "X-Deadline-Ms";
    private static final String KEY = "Idempotency-Key";

    private RequestMessages() {}

    /** Returns the request of one try of a client; {@code tenant} is null if the scenario has no tenants. */
    static FullHttpRequest forClient(
            ClientRequest clientRequest, String id, String className, String tenant, double timeoutMs) {
        FullHttpRequest request = createMessage(
                clientRequest.key() == null ? HttpMethod.GET : HttpMethod.POST,
                String.format(Locale.ROOT, "/api?work=%.3f", clientRequest.workMs()),
                id,
                timeoutMs);
        request.headers().set(CLASS, className);
        if (clientRequest.key() != null) {
            request.headers().set(KEY, clientRequest.key());
        }
        if (tenant != null) {
            request.headers().set(TENANT, tenant);
        }
        return request;
    }

    /** Returns the call to the next tier that an endpoint makes for {@code parent}; calls are numbered from 1. */
    static FullHttpRequest forNextTier(FullHttpRequest parent, String id, int number, double deadlineMs) {
        FullHttpRequest request = createMessage(parent.method(), parent.uri(), id, deadlineMs);
        for (String header : List.of(CLASS, TENANT)) {
            if (parent.headers().contains(header)) {
                request.headers().set(header, parent.headers().get(header));
            }
        }
        String key = parent.headers().get(KEY);
        if (key != null) {
            // Each call of a request gets its own key, but the same call of a repeated request gets the same key again.
            request.headers().set(KEY, key + "." + number);
        }
        return request;
    }

    private static FullHttpRequest createMessage(HttpMethod method, String uri, String id, double deadlineMs) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, "lab")
                .set(ID, id)
                .set(DEADLINE, (long) deadlineMs)
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return request;
    }

    /** Returns Retry-After of a response in ms, or NaN if the response is null or has no valid value. */
    static double retryAfterMs(FullHttpResponse response) {
        String text = response == null ? null : response.headers().get("Retry-After");
        try {
            return text == null ? Double.NaN : Double.parseDouble(text) * 1000;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
