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

/** The requests that clients and endpoints send to sidecars, as HTTP messages. */
final class RequestMessages {

    private static final String ID = "X-Request-Id";
    private static final String CLASS = "X-Class";
    private static final String TENANT = "X-Tenant";
    private static final String DEADLINE = "X-Deadline-Ms";
    private static final String KEY = "Idempotency-Key";

    private RequestMessages() {}

    /** What a client asks; {@code tenant} is null where there are none. */
    static FullHttpRequest of(
            ClientRequest clientRequest, String id, String className, String tenant, double patienceMs) {
        FullHttpRequest request = message(
                clientRequest.key() == null ? HttpMethod.GET : HttpMethod.POST,
                String.format(Locale.ROOT, "/api?work=%.3f", clientRequest.workMs()),
                id,
                patienceMs);
        request.headers().set(CLASS, className);
        if (clientRequest.key() != null) {
            request.headers().set(KEY, clientRequest.key());
        }
        if (tenant != null) {
            request.headers().set(TENANT, tenant);
        }
        return request;
    }

    /** The call, by its number from 1, that an endpoint makes for a request which it has. */
    static FullHttpRequest onBehalfOf(FullHttpRequest of, String id, int number, double leftMs) {
        FullHttpRequest request = message(of.method(), of.uri(), id, leftMs);
        for (String kept : List.of(CLASS, TENANT)) {
            if (of.headers().contains(kept)) {
                request.headers().set(kept, of.headers().get(kept));
            }
        }
        String key = of.headers().get(KEY);
        if (key != null) {
            // The calls of one request are things of their own; the same call of its repeat is not.
            request.headers().set(KEY, key + "." + number);
        }
        return request;
    }

    private static FullHttpRequest message(HttpMethod method, String uri, String id, double waitMs) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.EMPTY_BUFFER);
        request.headers()
                .set(HttpHeaderNames.HOST, "lab")
                .set(ID, id)
                .set(DEADLINE, (long) waitMs)
                .set(HttpHeaderNames.CONTENT_LENGTH, 0);
        return request;
    }

    /** When a refusal lets its client come again, in ms; NaN where it does not say. */
    static double retryAfterMs(FullHttpResponse answer) {
        String text = answer == null ? null : answer.headers().get("Retry-After");
        try {
            return text == null ? Double.NaN : Double.parseDouble(text) * 1000;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
