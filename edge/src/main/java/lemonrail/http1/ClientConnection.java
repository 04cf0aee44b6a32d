package lemonrail.http1;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import lemonrail.http1.RequestReader.Incoming;
import lemonrail.http1.RequestReader.Refusal;
import lemonrail.time.Clock;
import lemonrail.upgrade.AcceptedSocket;

/** One connection of a client: its requests in, and their answers out in the same order. */
final class ClientConnection extends SimpleChannelInboundHandler<Object> {

    /** Requests that a client may send ahead of their answers on one connection. */
    private static final int MOST_AHEAD = 8;

    private static final double OVERFLOW_COOL_DOWN_MS = 1000;
    private static final Refusal TWICE =
            new Refusal(HttpResponseStatus.CONFLICT, "X-Request-Id is that of a request in hand");

    private final HttpServer frontend;
    private final AcceptedSocket channel;
    private final ClientTimeoutHandler guard;
    private final RequestReader reader;
    /** In the order of the requests, which is the order that HTTP asks answers to be in. */
    private final Deque<PendingResponse> replies = new ArrayDeque<>();
    /** There was no room for it: it is told to come back later, unless there is when it asks. */
    private boolean surplus;

    private boolean hasAsked;
    private double quietSince;
    /** The earliest that it can have come up, and the poll that found it. */
    private double openedAt;

    private long openedInPoll;
    /** Answers that have been handed to the connection whole and that it has not written yet. */
    private int unwritten;
    /** Answers are being handed to the connection: what comes of that waits its turn. */
    private boolean flushing;
    /** The last answer is on its way. */
    private boolean ending;
    /** The answer whose body is being passed on, and by what. */
    private PipeWriter writer;
    /** The request whose body is still coming, if that has been taken up already. */
    private PendingResponse uploading;
    /** The far side of that body takes no more for now. */
    private boolean farFull;

    private boolean continueOwed;

    ClientConnection(HttpServer frontend, AcceptedSocket channel) {
        this.frontend = frontend;
        this.channel = channel;
        guard = new ClientTimeoutHandler(channel, frontend.clock());
        reader = new RequestReader(frontend.budget(), this::readBody);
        quietSince = frontend.clock().now();
    }

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(guard, new HttpRequestDecoder(), new HttpResponseEncoder(), reader, this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        openedAt = frontend.clock().now() - frontend.clock().maxQueueDelayMs();
        openedInPoll = frontend.clock().lag().pollCount();
        surplus = !frontend.opened(this);
    }

    /** The earliest that what is read now can have arrived; first bytes may be as old as the connection. */
    private double arrivedAt() {
        Clock clock = frontend.clock();
        long polls = clock.lag().pollCount();
        return polls > 0 && polls <= openedInPoll + 1 ? openedAt : clock.now() - clock.maxQueueDelayMs();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        frontend.closed(this);
        drop();
    }

    /** Whether it has asked for something at least once. */
    boolean hasAsked() {
        return hasAsked;
    }

    void close() {
        channel.close();
    }

    /** Whether nobody waits for an answer on it. */
    boolean isQuiet() {
        return isAnswered() && !ending;
    }

    /** Whether nothing is asked on it that has not been answered and written. */
    private boolean isAnswered() {
        return replies.isEmpty() && unwritten == 0;
    }

    /** Whether it has been quiet since then, no request is coming in and none waits to be read. */
    boolean isQuietSince(double time) {
        return isQuiet() && quietSince <= time && !guard.isReading() && !channel.hasUnreadBytes();
    }

    /** Whether nobody waits for anything on it, nor is a request coming in: it may make room for another. */
    boolean isFree() {
        return isIdle() && !guard.isReading();
    }

    /** The same of one on which half a request may stand. */
    boolean isIdle() {
        return isAnswered() && (!ending || guard.hasWrittenLastAnswer()) && !channel.hasUnreadBytes();
    }

    /** Whether its last answer is on its way, or written. */
    boolean isEnding() {
        return ending;
    }

    /** Whether it has had its last answer, and nothing is left to do but to close it. */
    boolean isOver() {
        return ending && isIdle();
    }

    /** Whether nothing has happened on it since then. */
    boolean isStillSince(double time) {
        return Math.max(quietSince, guard.lastReadAt()) <= time;
    }

    /** Whether bytes have come that are not read yet. */
    boolean hasUnread() {
        return channel.hasUnreadBytes();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        guard.headRead();
        if (event == RequestReader.EXPECTS) {
            continueOwed = true;
            sendContinueIfDue();
        }
    }

    /** Asks for the body that a client holds back, once no answer is under way that this would break into. */
    private void sendContinueIfDue() {
        if (continueOwed && replies.isEmpty()) {
            continueOwed = false;
            channel.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        if (message == RequestReader.BODY_WHOLE) {
            bodyWhole();
        } else if (uploading != null && message instanceof Refusal refusal) {
            // What has come of its body is no use any more, to the module and to endpoints either.
            PendingResponse cut = uploading;
            frontend.refused(refusal);
            if (cut.openId() != null) {
                frontend.exchange().onClientDisconnected(cut.openId());
                cut.giveUp(refusal);
            }
        } else {
            begin(message);
        }
    }

    private void begin(Object message) {
        PendingResponse reply = new PendingResponse(this, frontend.metrics());
        replies.add(reply);
        continueOwed = false;
        frontend.connections().asked(this);
        if (message instanceof Incoming incoming && incoming.rest() != null) {
            uploading = reply;
        } else {
            guard.requestTaken();
        }
        updateAutoRead();
        if (message instanceof Refusal refusal) {
            frontend.refused(refusal);
            reply.giveUp(refusal);
        } else if (replies.size() > MOST_AHEAD) {
            reply.giveUp(RequestReader.TOO_MANY);
        } else {
            take(reply, (Incoming) message);
        }
    }

    private void bodyWhole() {
        PendingResponse whole = uploading;
        uploading = null;
        farFull = false;
        guard.requestTaken();
        updateAutoRead();
        whole.taken();
        if (whole.openId() != null) {
            frontend.exchange().onRequestBodyReceived(whole.openId());
        }
    }

    /** The far side of a large body takes more, or has enough for now. */
    private void readBody(boolean on) {
        farFull = !on;
        guard.reading(on);
        updateAutoRead();
    }

    private void take(PendingResponse reply, Incoming request) {
        HttpRequest head = request.head();
        reply.keepAlive(HttpUtil.isKeepAlive(head));
        int query = head.uri().indexOf('?');
        switch (query < 0 ? head.uri() : head.uri().substring(0, query)) {
            case "/api" -> api(reply, request);
            case "/health/ready" ->
                reply.plain(
                        frontend.lifecycle().isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE,
                        frontend.lifecycle().description());
            default -> reply.plain(HttpResponseStatus.NOT_FOUND, "unknown path");
        }
    }

    private void api(PendingResponse reply, Incoming request) {
        RequestHeadMapper heads = frontend.heads();
        reply.ofClass(heads.requestClass(request.head()));
        if (request.rest() == null) {
            reply.taken();
        }
        Refusal refusal = heads.refusal(request.head());
        if (refusal != null) {
            reply.giveUp(refusal);
            return;
        }
        RequestHeadMapper.Told told = heads.told(request.head());
        if (frontend.exchange().isInFlight(told.id())) {
            reply.giveUp(TWICE);
        } else if (surplus && frontend.connections().excess() > 0) {
            reply.keepAlive(false);
            reply.rejected(OVERFLOW_COOL_DOWN_MS);
        } else {
            reply.asked(told.id());
            hasAsked = true;
            frontend.exchange().dispatch(frontend.request(told, arrivedAt()), message(request), reply);
        }
    }

    private static RequestMessage message(Incoming request) {
        HttpRequest head = request.head();
        HttpHeaders headers = RequestHeadMapper.endToEnd(head);
        if (request.rest() == null && request.body().length > 0) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
        } else if (request.rest() != null && !HttpUtil.isContentLengthSet(head)) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return new RequestMessage(head.method(), head.uri(), headers, request.body(), request.rest());
    }

    /** What is not read for long hides that its client has gone: only what has no place is left unread. */
    private void updateAutoRead() {
        guard.full(replies.size() >= MOST_AHEAD);
        channel.config()
                .setAutoRead(guard.takes()
                        && (ending
                                || guard.isDiscarding()
                                || (!farFull && (channel.isWritable() || uploading != null))));
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        updateAutoRead();
        if (writer != null) {
            writer.onProgress();
        }
    }

    /** Nothing that comes from now on is listened to. */
    void discardInput() {
        reader.stop();
        guard.discardInput();
    }

    /** Writes the answers that are there, as far as none before them is missing. */
    void flush() {
        // To write can lead back here: the connection is full, or takes more, which has more of it read.
        if (flushing) {
            return;
        }
        flushing = true;
        while (!ending && writer == null && !replies.isEmpty() && replies.peek().response() != null) {
            write(replies.peek());
        }
        flushing = false;
        if (ending) {
            drop();
        } else if (replies.isEmpty()) {
            allAnswered();
        }
        updateAutoRead();
    }

    private void write(PendingResponse reply) {
        boolean last = reply.isLast() || (frontend.letsGo(this) && replies.size() == 1);
        if (uploading == reply) {
            // Its client still sends what nobody needs any more, and would go on with it.
            last = true;
            guard.allowRestOfBody();
        }
        if (last) {
            reply.response().headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        if (reply.body() == null) {
            written(reply, last, channel.writeAndFlush(reply.response()));
        } else {
            channel.writeAndFlush(reply.response());
            writer = new PipeWriter(channel, reply.body(), new Streamed(reply, last));
            reply.body().setConsumer(writer);
        }
    }

    /** All is answered; the connection is free once that is written as well. */
    private void allAnswered() {
        if (unwritten > 0) {
            guard.answering();
        } else if (frontend.connections().answered(this)) {
            quietSince = frontend.clock().now();
            guard.answered();
            sendContinueIfDue();
        }
    }

    /** An answer has been handed to the connection whole. */
    private void written(PendingResponse reply, boolean last, ChannelFuture written) {
        replies.poll();
        unwritten++;
        written.addListener(done -> {
            unwritten--;
            reply.ended(done.isSuccess());
            if (done.isSuccess() && isQuiet()) {
                flush();
            }
        });
        if (last) {
            endAfter(written);
        }
    }

    /** Nothing more is answered on this connection than what is written by then. */
    private void endAfter(ChannelFuture written) {
        ending = true;
        reader.stop();
        guard.endAfter(written);
    }

    /** What becomes of an answer that is passed on as it comes. */
    private final class Streamed implements PipeWriter.Ending {
        private final PendingResponse reply;
        private final boolean last;

        Streamed(PendingResponse reply, boolean last) {
            this.reply = reply;
            this.last = last;
        }

        @Override
        public void whole(ChannelFuture lastPart) {
            writer = null;
            written(reply, last, lastPart);
            flush();
        }

        @Override
        public void cut() {
            // Closing ahead of the end is how a client can tell that its answer is not whole. What has been
            // handed to the connection goes first: cut within a chunk, it would pass for one that is broken.
            reply.cut();
            writer = null;
            endAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
            drop();
        }
    }

    /** The connection says no more: what else was asked on it has nobody to answer to. */
    private void drop() {
        List<PendingResponse> left = List.copyOf(replies);
        replies.clear();
        frontend.connections().dropped(this);
        for (PendingResponse reply : left) {
            reply.ended(false);
            String open = reply.openId();
            if (reply.body() != null) {
                reply.body().close();
            }
            if (open != null) {
                frontend.exchange().onClientDisconnected(open);
            }
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        frontend.troubled(cause);
        ctx.close();
    }
}
