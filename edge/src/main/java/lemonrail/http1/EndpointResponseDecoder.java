package lemonrail.http1;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import lemonrail.net.BoundedHttpHeaders;

/**
 * A response decoder that rejects malformed header lines as strictly as in requests, and reports whether it has
 * undecoded bytes.
 */
final class EndpointResponseDecoder extends HttpResponseDecoder {

    private boolean inHead;

    EndpointResponseDecoder() {
        super(BoundedHttpHeaders.decoderConfig());
    }

    /** Returns whether the decoder has bytes that it has not decoded. */
    boolean hasUndecodedBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        inHead = true;
        return super.createMessage(initialLine);
    }

    /**
     * Makes the decoder treat each head as that of a request, because it would accept header lines without a colon in a
     * response.
     */
    @Override
    protected boolean isDecodingRequest() {
        return inHead;
    }

    /** Notes the end of the head: the decoder calls this method when it has read all headers. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        inHead = false;
        return super.isContentAlwaysEmpty(message);
    }
}
