package lemonrail.http1;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** The response decoder, with malformed header lines rejected as in requests and unread bytes visible. */
final class EndpointResponseDecoder extends HttpResponseDecoder {

    private boolean inHead;

    /** Returns whether it holds bytes that no message has been made of. */
    boolean holdsBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        inHead = true;
        return super.createMessage(initialLine);
    }

    /** Makes the codec as strict as for requests: in responses it accepts header lines without a colon. */
    @Override
    protected boolean isDecodingRequest() {
        return inHead;
    }

    /** Called once the head is read. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        return super.isContentAlwaysEmpty(message);
    }
}
