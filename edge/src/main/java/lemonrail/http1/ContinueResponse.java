package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/**
 * The 100 Continue that a client may wait for before it sends a body. It is delayed until all earlier responses have
 * been written, because responses must be in order.
 */
final class ContinueResponse {

    private final Channel channel;
    private final ResponseQueue responses;
    private boolean expected;

    ContinueResponse(Channel channel, ResponseQueue responses) {
        this.channel = channel;
        this.responses = responses;
    }

    /** Notes that the client waits, and sends the response if it is ready. */
    void onExpected() {
        expected = true;
        sendIfReady();
    }

    /** Notes that the client no longer waits. */
    void cancel() {
        expected = false;
    }

    /** Sends the response if the client waits for it and all earlier ones have been written. */
    void sendIfReady() {
        if (expected && responses.isEmpty()) {
            expected = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }
}
