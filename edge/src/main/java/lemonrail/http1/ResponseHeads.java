package lemonrail.http1;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;

/** Checks and converts the heads of endpoint responses. */
final class ResponseHeads {

    private static final String NOT_EXECUTED_HEADER = "X-Not-Run";
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int FIRST_INVALID_STATUS = 600;

    private ResponseHeads() {}

    /** Returns whether this is the head of an interim response (1xx), after which the final response follows. */
    static boolean isInterim(HttpResponse head) {
        return head.status().code() < FIRST_FINAL_STATUS;
    }

    /** Returns whether an interim response with this head is acceptable. */
    static boolean isAcceptableInterim(HttpResponse head) {
        int status = head.status().code();
        return status >= HttpResponseStatus.CONTINUE.code() && status != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }

    /**
     * Returns whether a final response with this head is acceptable: its body is chunked, or has a length within the
     * maximum, or has neither and {@linkplain #endsWithConnection ends with the connection}.
     */
    static boolean isAcceptableFinal(HttpResponse head) {
        return head.status().code() < FIRST_INVALID_STATUS && isFramingAcceptable(head);
    }

    private static boolean isFramingAcceptable(HttpResponse head) {
        String coding = head.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (coding != null) {
            return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding);
        }
        return HttpUtil.getContentLength(head, 0L) <= ResponseReader.MAX_BODY_BYTES;
    }

    /** Returns whether only the orderly end of the connection ends the body (RFC 9112, section 6.3). */
    static boolean endsWithConnection(HttpResponse head) {
        return !head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) && !HttpUtil.isContentLengthSet(head);
    }

    /** Converts a head and a body to a response. */
    static UpstreamResponse toResponse(HttpResponse head, byte[] body) {
        return new UpstreamResponse(
                head.status().code(),
                "1".equals(head.headers().get(NOT_EXECUTED_HEADER)),
                HttpUtil.isKeepAlive(head),
                head.headers().get(HttpHeaderNames.CONTENT_TYPE),
                HttpUtil.getContentLength(head, -1L),
                body);
    }
}
