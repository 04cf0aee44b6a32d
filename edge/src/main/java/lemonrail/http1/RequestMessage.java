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
import lemonrail.streaming.BodyPipe;

/**
 * A request as it is forwarded to an endpoint.
 *
 * @param headers the end-to-end headers
 * @param body the body, or the first part of it
 * @param remainingBody the rest of a large body, or null
 */
public record RequestMessage(HttpMethod method, String uri, HttpHeaders headers, byte[] body, BodyPipe remainingBody)
        implements ProtocolRequest {

    @Override
    public int bufferedBytes() {
        return body.length;
    }

    /** Returns the whole request, which the endpoint has so many milliseconds to respond to. */
    FullHttpRequest whole(double waitMs) {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body),
                headersWithDeadline(waitMs),
                EmptyHttpHeaders.INSTANCE);
    }

    /** Returns the head of a request whose body follows. */
    HttpRequest head(double waitMs) {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, headersWithDeadline(waitMs));
    }

    private HttpHeaders headersWithDeadline(double waitMs) {
        return headers.copy().set(RequestHeadMapper.DEADLINE_HEADER, (long) Math.ceil(waitMs));
    }
}
