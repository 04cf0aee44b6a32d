package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import lemonrail.exchange.ProtocolRequest;
import lemonrail.net.BoundedHttpHeaders;
import lemonrail.streaming.BodyPipe;

/**
 * A request in the form in which it is forwarded to an endpoint.
 *
 * @param headers the end-to-end headers
 * @param body the complete body, or the first part of a large one
 * @param remainingBody the rest of a large body, or null
 */
public record RequestMessage(HttpMethod method, String uri, HttpHeaders headers, byte[] body, BodyPipe remainingBody)
        implements ProtocolRequest {

    @Override
    public int bufferedBytes() {
        return (int) BoundedHttpHeaders.memoryBytes(uri, headers) + body.length;
    }

    /**
     * Returns the complete request.
     *
     * @param timeoutMs the time that the endpoint has to respond, in milliseconds; it is sent in {@code X-Deadline-Ms}
     */
    FullHttpRequest toFullRequest(double timeoutMs) {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body),
                headersWithDeadline(timeoutMs),
                EmptyHttpHeaders.INSTANCE);
    }

    /**
     * Returns the head of a request whose body is sent separately.
     *
     * @param timeoutMs the time that the endpoint has to respond, in milliseconds; it is sent in {@code X-Deadline-Ms}
     */
    HttpRequest toHead(double timeoutMs) {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, headersWithDeadline(timeoutMs));
    }

    private HttpHeaders headersWithDeadline(double timeoutMs) {
        return headers.copy().set(RequestHeadMapper.DEADLINE_HEADER, (long) Math.ceil(timeoutMs));
    }
}
