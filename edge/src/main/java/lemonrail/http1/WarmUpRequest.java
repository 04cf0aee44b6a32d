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
 * The kinds of synthetic requests of the {@link WarmUp}, each of which exercises one path through the sidecar's code.
 * The query of a request contains the name of its kind, which determines how the endpoint of the warm-up responds.
 */
enum WarmUpRequest {

    /** Gets a successful response with a Content-Length. */
    PLAIN,
    /** Gets the same response as {@link #PLAIN}, but is sent in two pieces. */
    PIECES,
    /** Gets a chunked response. */
    CHUNKS,
    /** Gets a streamed response that is truncated. */
    CUT,
    /**
     * Gets a response that ends with the connection and has no length, which counts as malformed; the next attempt
     * succeeds.
     */
    TO_THE_END,
    /** Is rejected by an overloaded endpoint; the next attempt succeeds. */
    FULL,
    /** Has its connection reset by the endpoint; the next attempt succeeds. */
    RESET,
    /** Gets an error response from the endpoint. */
    FAILED,
    /** Gets no response, so that its deadline passes. */
    SILENT,
    /** Gets no response, and its client disconnects. */
    LEFT,
    /** Is not a valid HTTP request. */
    MALFORMED;

    /** The last byte of the body of every complete response of an endpoint. */
    static final byte LAST_BODY_BYTE = '~';

    /** The path and the start of the query. The number of the request and the name of its kind follow. */
    static final String PATH = "/api?";

    static final char NAME_SEPARATOR = '=';

    private static final int DEADLINE_MS = 1000;
    /** The deadline of {@link #SILENT}, whose endpoint never responds. */
    private static final int SHORT_DEADLINE_MS = 5;

    private static final int REQUEST_BODY_BYTES = 128;
    private static final String RESPONSE_BODY = "warm-up".repeat(16) + (char) LAST_BODY_BYTE;
    private static final int STREAMED_BYTES = ResponseReader.MAX_BUFFERED_BYTES + 1;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String NOT_EXECUTED =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    /** Returns the text of a request, whose number also determines its class. */
    String toText(int number, BalancerSettings settings) {
        RequestClass requestClass =
                settings.classes().get(number % settings.classes().size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        boolean keyed = requestClass.idempotency() == Idempotency.KEYED;
        String tenant = settings.tenants().isEmpty()
                ? ""
                : "X-Tenant: " + utf8AsLatin1(settings.tenants().get(0).name()) + "\r\n";
        String head = (idempotent ? "GET" : "POST") + " " + PATH + number + NAME_SEPARATOR + this + " HTTP/1.1\r\n"
                + "Host: warm-up\r\n"
                + "X-Request-Id: warm-up-" + number + "\r\n"
                + "X-Class: " + utf8AsLatin1(requestClass.name()) + "\r\n"
                + RequestHeadMapper.DEADLINE_HEADER + ": " + (this == SILENT ? SHORT_DEADLINE_MS : DEADLINE_MS) + "\r\n"
                + tenant
                + (keyed ? "Idempotency-Key: warm-up-" + number + "\r\n" : "");
        return idempotent ? head + "\r\n" : head + requestBody(REQUEST_BODY_BYTES);
    }

    private static String requestBody(int bytes) {
        return "Content-Length: " + bytes + "\r\n\r\n" + "-".repeat(bytes);
    }

    /** Returns the bytes of a name in UTF-8, as one character for each byte. */
    private static String utf8AsLatin1(String name) {
        return new String(name.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Writes the endpoint's response to a request of this kind. */
    void respond(Channel connection, boolean firstAttempt) {
        switch (this) {
            case CHUNKS -> write(connection, CHUNKED + chunk(RESPONSE_BODY) + LAST_CHUNK);
            case CUT -> writeAndClose(connection, truncatedStream());
            case TO_THE_END -> {
                if (firstAttempt) {
                    writeAndClose(connection, OK + "\r\n" + RESPONSE_BODY);
                } else {
                    write(connection, completeResponse(OK));
                }
            }
            case FULL -> write(connection, firstAttempt ? NOT_EXECUTED : completeResponse(OK));
            case RESET -> {
                if (firstAttempt) {
                    connection.config().setOption(ChannelOption.SO_LINGER, 0);
                    connection.close();
                } else {
                    write(connection, completeResponse(OK));
                }
            }
            case FAILED -> write(connection, completeResponse("HTTP/1.1 500 Internal Server Error\r\n"));
            case SILENT, LEFT, MALFORMED -> {}
            default -> write(connection, completeResponse(OK));
        }
    }

    private static String truncatedStream() {
        return OK + "Content-Length: " + STREAMED_BYTES + "\r\n\r\n" + "-".repeat(RESPONSE_BODY.length());
    }

    private static String completeResponse(String statusLine) {
        return statusLine + "Content-Length: " + RESPONSE_BODY.length() + "\r\n\r\n" + RESPONSE_BODY;
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static void writeAndClose(Channel connection, String text) {
        write(connection, text).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes a text with one byte for each character. */
    static ChannelFuture write(Channel connection, String text) {
        return connection.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
