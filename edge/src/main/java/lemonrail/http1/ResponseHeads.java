package lemonrail.http1;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** Checks and conversions of response heads. */
final class ResponseHeads {

    private static final String NOT_RUN_HEADER = "X-Not-Run";
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int FIRST_UNKNOWN_STATUS = 600;

    private ResponseHeads() {}

    /** Returns whether the final response is still to come. */
    static boolean isInterim(HttpResponse head) {
        return head.status().code() < FIRST_FINAL_STATUS;
    }

    /** Returns whether this head can be that of an interim response. */
    static boolean isAcceptableInterim(HttpResponse head) {
        int status = head.status().code();
        return status >= HttpResponseStatus.CONTINUE.code() && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }

    /** Returns whether this head can be that of a final response, and tells where the body ends. */
    static boolean isAcceptableFinal(HttpResponse head) {
        return head.status().code() < FIRST_UNKNOWN_STATUS && isDelimited(head);
    }

    /** A body that ends with the connection may be truncated, so its length or chunks are required. */
    private static boolean isDelimited(HttpResponse head) {
        String coding = head.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null) {
            return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
        }
        return HttpUtil.isContentLengthSet(head) && HttpUtil.getContentLength(head) <= ResponseReader.MAX_BODY_BYTES;
    }

    /** Returns the response with this head and body. */
    static UpstreamResponse toResponse(HttpResponse head, byte[] body) {
        return new UpstreamResponse(
                head.status().code(),
                "1".equals(head.headers().get(NOT_RUN_HEADER)),
                HttpUtil.isKeepAlive(head),
                head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                HttpUtil.getContentLength(head, -1L),
                body);
    }
}
