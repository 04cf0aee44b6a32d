package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import java.nio.charset.StandardCharsets;

/**
 * What becomes of a made-up request of the {@link Warmup}: the ways on which requests, attempts and answers
 * go in service. Its name is in the request's query, by which the endpoint of the warm-up knows it.
 */
enum WarmUpRequest {

    /** Answered at once, with its length told. */
    PLAIN,
    /** The same, its head coming in pieces. */
    PIECES,
    /** Answered in chunks. */
    CHUNKS,
    /** Answered with the beginning of more than is held of an answer, which then breaks off. */
    CUT,
    /** Answered with no length, which counts as none, then answered well at the next attempt. */
    TO_THE_END,
    /** Turned away as an endpoint that is full does, then answered at the next attempt. */
    FULL,
    /** Its connection is reset, then it is answered at the next attempt. */
    RESET,
    /** Failed by the endpoint. */
    FAILED,
    /** Never answered, so that its time runs out. */
    SILENT,
    /** Never answered, and its client leaves. */
    LEFT,
    /** No request at all. */
    MALFORMED;

    /** The last byte of the body of each answer that an endpoint of the warm-up makes whole. */
    static final byte LAST = '~';

    private static final String BODY = "warm-up".repeat(16) + (char) LAST;
    private static final int TOO_MANY = ResponseReader.MAX_HELD_BYTES + 1;
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String NOT_RUN =
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String END_CHUNK = "0\r\n\r\n";

    /** Has an endpoint answer on this connection; {@code first} is the request's first attempt. */
    void answer(Channel connection, boolean first) {
        switch (this) {
            case CHUNKS -> write(connection, CHUNKED + chunk(BODY) + END_CHUNK);
            case CUT ->
                writeLast(connection, OK + "Content-Length: " + TOO_MANY + "\r\n\r\n" + "-".repeat(BODY.length()));
            case TO_THE_END -> {
                if (first) {
                    writeLast(connection, OK + "\r\n" + BODY);
                } else {
                    write(connection, plain(OK));
                }
            }
            case FULL -> write(connection, first ? NOT_RUN : plain(OK));
            case RESET -> {
                if (first) {
                    connection.config().setOption(ChannelOption.SO_LINGER, 0);
                    connection.close();
                } else {
                    write(connection, plain(OK));
                }
            }
            case FAILED -> write(connection, plain("HTTP/1.1 500 Internal Server Error\r\n"));
            case SILENT, LEFT, MALFORMED -> {}
            default -> write(connection, plain(OK));
        }
    }

    private static String plain(String status) {
        return status + "Content-Length: " + BODY.length() + "\r\n\r\n" + BODY;
    }

    private static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    private static void writeLast(Channel connection, String text) {
        write(connection, text).addListener(ChannelFutureListener.CLOSE);
    }

    /** Writes these characters, a byte each. */
    static ChannelFuture write(Channel connection, String text) {
        return connection.writeAndFlush(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)));
    }
}
