package lemonrail.http1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import lemonrail.streaming.BodyPipe;
import lemonrail.streaming.BufferBudget;

/**
 * Makes requests of what the decoder has read: whole ones, or such as have outgrown what is held and whose
 * rest follows through a pipe. The first thing that is no request, or too large, or ambiguous about where it
 * ends, becomes a {@link Refusal}, and is the last thing heard of its connection.
 */
final class RequestReader extends ChannelInboundHandlerAdapter {

    /** Said when the rest of a large body has come. */
    static final Object BODY_WHOLE = new Object();
    /** Said when a head is read and its body is still to come. */
    static final Object HEAD_WHOLE = new Object();
    /** The same, of a client that waits to be asked for the body. */
    static final Object EXPECTS = new Object();
    /** Said to who sends more requests ahead of their answers than are taken. */
    static final Refusal TOO_MANY =
            new Refusal(HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests ahead of answers");
    /** Bodies up to this size are read even where there is no room for large ones. */
    private static final int SMALL_BYTES = 8 * 1024;

    /** Why a connection is given up. */
    record Refusal(HttpResponseStatus status, String why) {}

    /** A request: the first part of its body, and the rest where it is large, else null. */
    record Incoming(HttpRequest head, byte[] body, BodyPipe rest) {}

    private final BufferBudget budget;
    private final BodyPipe.Source near;
    private HttpRequest head;
    private ByteBuf body;
    private BodyPipe rest;
    private long received;
    private boolean over;

    RequestReader(BufferBudget budget, BodyPipe.Source near) {
        this.budget = budget;
        this.near = near;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            if (!over
                    && message instanceof HttpObject part
                    && part.decoderResult().isFailure()) {
                refuse(ctx, unreadable(part.decoderResult().cause()));
            }
            if (!over && message instanceof HttpRequest begun) {
                begin(ctx, begun);
            }
            if (!over && message instanceof HttpContent content) {
                take(ctx, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private static Refusal unreadable(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                ? new Refusal(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large")
                : new Refusal(HttpResponseStatus.BAD_REQUEST, "malformed request");
    }

    private void begin(ChannelHandlerContext ctx, HttpRequest begun) {
        HttpHeaders headers = begun.headers();
        List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        String expected = headers.get(HttpHeaderNames.EXPECT);
        if (!codings.isEmpty()
                && (codings.size() > 1
                        || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                        || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            // Where it is not plain where a body ends, another request may hide in it.
            refuse(ctx, new Refusal(HttpResponseStatus.BAD_REQUEST, "ambiguous framing"));
        } else if (HttpUtil.getContentLength(begun, 0L) > ResponseReader.MOST_BODY_BYTES) {
            refuse(ctx, tooLarge());
        } else if (expected != null && !HttpHeaderValues.CONTINUE.contentEqualsIgnoreCase(expected)) {
            refuse(ctx, new Refusal(HttpResponseStatus.EXPECTATION_FAILED, "unknown expectation"));
        } else {
            head = begun;
            body = Unpooled.buffer(0, ResponseReader.MOST_HELD_BYTES);
            received = 0;
            ctx.fireUserEventTriggered(expected == null ? HEAD_WHOLE : EXPECTS);
        }
    }

    private static Refusal tooLarge() {
        return new Refusal(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
    }

    private void take(ChannelHandlerContext ctx, HttpContent content) {
        int bytes = content.content().readableBytes();
        received += bytes;
        if (received > ResponseReader.MOST_BODY_BYTES) {
            refuse(ctx, tooLarge());
            return;
        }
        if (rest == null && bytes > body.maxWritableBytes()) {
            outgrow(ctx);
        }
        if (over) {
            return;
        }
        if (rest != null) {
            rest.write(content.content());
        } else {
            body.writeBytes(content.content());
            budget.acquire(bytes);
            if (body.readableBytes() > SMALL_BYTES && !budget.hasCapacity()) {
                refuse(ctx, new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many large bodies"));
                return;
            }
        }
        if (content instanceof LastHttpContent) {
            finish(ctx);
        }
    }

    /** The body is larger than what is held of one: the request goes its way, and the rest follows. */
    private void outgrow(ChannelHandlerContext ctx) {
        rest = new BodyPipe(budget, near);
        ctx.fireChannelRead(new Incoming(head, takeBody(), rest));
    }

    private byte[] takeBody() {
        byte[] bytes = ByteBufUtil.getBytes(body);
        dropBody();
        return bytes;
    }

    private void dropBody() {
        if (body != null) {
            budget.release(body.readableBytes());
            body.release();
            body = null;
        }
    }

    private void finish(ChannelHandlerContext ctx) {
        // No more is taken after a request that says it is the last.
        over = !HttpUtil.isKeepAlive(head);
        HttpRequest done = head;
        BodyPipe passed = rest;
        head = null;
        rest = null;
        if (passed == null) {
            ctx.fireChannelRead(new Incoming(done, takeBody(), null));
        } else {
            ctx.fireChannelRead(BODY_WHOLE);
            passed.complete();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (rest != null) {
            rest.flush();
        }
        ctx.fireChannelReadComplete();
    }

    /** Takes nothing more from this connection. */
    void stop() {
        over = true;
        dropBody();
        head = null;
        if (rest != null) {
            BodyPipe cut = rest;
            rest = null;
            cut.fail();
        }
    }

    private void refuse(ChannelHandlerContext ctx, Refusal refusal) {
        over = true;
        // First the word, then the end of a body: who passes it on must know that it is no endpoint's fault.
        ctx.fireChannelRead(refusal);
        stop();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != ClientTimeoutHandler.LATE && event != ClientTimeoutHandler.FLOOD) {
            ctx.fireUserEventTriggered(event);
        } else if (!over) {
            refuse(
                    ctx,
                    event == ClientTimeoutHandler.FLOOD
                            ? TOO_MANY
                            : new Refusal(HttpResponseStatus.REQUEST_TIMEOUT, "no whole request in time"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ctx.fireChannelInactive();
        stop();
    }
}
