package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import java.nio.charset.StandardCharsets;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.RequestClass;

/**
 * The kinds of synthetic requests of the {@link WarmUp}, each for one path through the sidecar's code. The query
 * of a request names its kind, by which the endpoint of the warm-up knows how to respond.
 */
enum WarmUpRequest {

    /** Responded to at once, with a Content-Length. */
    PLAIN,
    /** The same, the request arriving in pieces. */
    PIECES,
    /** Responded to in chunks. */
    CHUNKS,
    /** Responded to with the beginning of a streamed response that breaks off. */
    CUT,
    /** Responded to without a length, which is malformed; the next attempt succeeds. */
    TO_THE_END,
    /** Rejected by an overloaded endpoint; the next attempt succeeds. */
    FULL,
    /** Its connection is reset; the next attempt succeeds. */
    RESET,
    /** Failed by the endpoint. */
    FAILED,
    /** Never responded to, so that its deadline passes. */
    SILENT,
    /** Never responded to, and its client disconnects. */
    LEFT,
    /** Not a request at all. */
    MALFORMED;

    /** The last byte of the body of each response that an endpoint of the warm-up completes. */
    static final byte LAST_BODY_BYTE = '~';

    /** The path and the start of the query, which goes on with the request's number and its kind's name. */
    static final String PATH = "/api?";

    static final char NAME_SEPARATOR = '=';

    private static final int DEADLINE_MS = 1000;
    /** The deadline where the endpoint never responds. */
    private static final int SHORT_DEADLINE_MS = 5;

    private static final int REQUEST_BODY_BYTES = 128;
    private static final String RESPONSE_BODY = "warm-up".repeat(16) + (char) LAST_BODY_BYTE;
    private static final int STREAMED_BYTES = ResponseReader.MAX_HELD_BYTES + 1;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Returns the request's text; its class is chosen by its number. */
    String text(int number, BalancerSettings settings) {
        RequestClass requestClass =
                settings.classes().get(number % settings.classes().size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        boolean keyed = requestClass.idempotency() == Idempotency.KEYED;
        String tenant = settings.tenants().isEmpty()
                ? ""
                : "X-Tenant: " + utf8(settings.tenants().get(0).name()) + "\r\n";
        String head = (idempotent ? "GET" : "POST") + " " + PATH + number + NAME_SEPARATOR + this + " HTTP/1.1\r\n"
                + "Host: warm-up\r\n"
                + "X-Request-Id: warm-up-" + number + "\r\n"
                + "X-Class: " + utf8(requestClass.name()) + "\r\n"
                + RequestHeadMapper.DEADLINE_HEADER + ": " + (this == SILENT ? SHORT_DEADLINE_MS : DEADLINE_MS) + "\r\n"
                + tenant
                + (keyed ? "Idempotency-Key: warm-up-" + number + "\r\n" : "");
        return idempotent ? head + "\r\n" : head + bodyOf(REQUEST_BODY_BYTES);
    }

    private static String bodyOf(int bytes) {
        return "Content-Length: " + bytes + "\r\n\r\n" + "-".repeat(bytes);
    }

    /** Returns a name's bytes in UTF-8, one character each. */
    private static String utf8(String name) {
        return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Responds on a connection to an endpoint. */
    void respond(Channel connection, boolean firstAttempt) {
        switch (this) {
            case CHUNKS -> write(connection, CHUNKED + chunk(RESPONSE_BODY) + LAST_CHUNK);
            case CUT -> writeAndClose(connection, truncatedStream());
            case TO_THE_END -> {
                if (firstAttempt) {
                    writeAndClose(connection, OK + "\r\n" + RESPONSE_BODY);
                } else {
                    write(connection, whole(OK));
                }
            }
            case FULL -> write(connection, firstAttempt ? NOT_RUN : whole(OK));
            case RESET -> {
                if (firstAttempt) {
                    connection.config().setOption(ChannelOption.SO_LINGER, 0);
                    connection.close();
                } else {
                    write(connection, whole(OK));
                }
            }
            case FAILED -> write(connection, whole("HTTP/1.1 500 Internal Server Error\r\n"));
            case SILENT, LEFT, MALFORMED -> {}
            default -> write(connection, whole(OK));
        }
    }

    private static String truncatedStream() {
        return OK + "Content-Length: " + STREAMED_BYTES + "\r\n\r\n" + "-".repeat(RESPONSE_BODY.length());
    }

    private static String whole(String statusLine) {
        return statusLine + "Content-Length: " + RESPONSE_BODY.length() + "\r\n\r\n" + RESPONSE_BODY;
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static void writeAndClose(Channel connection, String text) {
        write(connection, text).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes these characters, one byte each. */
    static ChannelFuture write(Channel connection, String text) {
        return connection.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
