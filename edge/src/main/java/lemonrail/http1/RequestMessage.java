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
 * A request as it is passed on.
 *
 * @param headers those that concern more than one connection
 * @param body all of it, or the first part where more follows
 * @param remainingBody what follows, or null
 */
public record RequestMessage(HttpMethod method, String uri, HttpHeaders headers, byte[] body, BodyPipe remainingBody)
        implements ProtocolRequest {

    @Override
    public int bufferedBytes() {
        return body.length;
    }

    /** The whole request, as one that is waited for so long. */
    FullHttpRequest whole(double waitMs) {
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                method,
                uri,
                Unpooled.wrappedBuffer(body),
                told(waitMs),
                EmptyHttpHeaders.INSTANCE);
    }

    /** The head of a request whose body follows. */
    HttpRequest head(double waitMs) {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri, told(waitMs));
    }

    private HttpHeaders told(double waitMs) {
        return headers.copy().set(RequestHeadMapper.DEADLINE, (long) Math.ceil(waitMs));
    }
}
