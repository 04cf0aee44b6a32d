package lemonrail.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;

/**
 * One connection of a watcher or another node: one call in hand, answered at once where there is news, and
 * else when there is or its wait is over.
 */
final class WatchConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    /** Between two answers with news to another node. */
    private static final double PEER_GAP_MS = 20;
    /** What a head has beside the call's path, about. */
    private static final int HEAD_BYTES = 80;

    private final WatchServer server;
    private final WatchContext shared;
    private final SocketChannel channel;
    private WatchRequest call;
    /** The version that the call in hand has all up to. */
    private long since;
    /** Its digest has been found equal, or the whole list was sent. */
    private boolean settled;

    private String name = "";
    private String peer = "";
    private boolean keepAlive;
    private Future<?> end;
    private Future<?> paced;
    private double nextAnswerAt;
    private double lastActive;
    private double untakenSince;
    private long unwritten;
    private int callBytes;

    WatchConnection(WatchServer server, WatchContext shared, SocketChannel channel) {
        this.server = server;
        this.shared = shared;
        this.channel = channel;
        lastActive = shared.clock().now();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        server.opened(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        lastActive = shared.clock().now();
        if (call != null || unwritten > 0) {
            server.closeSlow(this, "it calls before it has its answer");
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(request);
        callBytes = request.uri().length() + HEAD_BYTES;
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        if (request.decoderResult().isFailure()) {
            refuse(HttpResponseStatus.BAD_REQUEST, "malformed call");
        } else if (!query.path().equals("/registry/instances")) {
            refuse(HttpResponseStatus.NOT_FOUND, "unknown path");
        } else if (!request.method().equals(HttpMethod.GET)) {
            refuse(HttpResponseStatus.METHOD_NOT_ALLOWED, "this path takes GET only");
        } else {
            try {
                take(WatchRequest.of(query));
            } catch (IllegalArgumentException e) {
                refuse(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
            }
        }
    }

    private void take(WatchRequest asked) {
        peer = asked.peer();
        if (asked.isOfPeer() && shared.node().isCut(peer)) {
            channel.close();
            return;
        }
        if (!shared.store().isReady() && !(asked.isOfPeer() && shared.node().tellsPeers())) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready: no other node has been heard yet");
            return;
        }
        if (!asked.isOfPeer() && server.isFull()) {
            refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many watchers");
            return;
        }
        if (asked.word() != null) {
            name = asked.word().watcher();
            server.passed(name, asked.digest(), callBytes, 0);
            shared.inForce().onReport((long) shared.clock().now(), asked.word());
        }
        call = asked;
        if (asked.isOfPeer()) {
            takePeer();
        } else {
            takeWatcher();
        }
    }

    private void takePeer() {
        if (call.index() < 0 || !call.from().equals(shared.boot())) {
            answer(shared.answers().toPeer(shared.store().allEntries(), true, head()));
            return;
        }
        since = call.index();
        if (shared.store().entriesForPeerSince(peer, since).isEmpty()) {
            await();
        } else {
            news();
        }
    }

    private void takeWatcher() {
        List<String> topics = shared.topics(call);
        if (call.index() < 0 || (call.digest() == null && !settled)) {
            whole(topics);
            return;
        }
        since = call.from().equals(shared.boot()) || settled
                ? call.index()
                : ReplicatedStore.rewind(call.index(), WatchServer.OVERLAP_MS);
        if (!settled && shared.store().digest(topics) == call.digest()) {
            settled = true;
            since = shared.store().currentVersion((long) shared.clock().now());
        }
        if (shared.store().hasNewer(topics, since)) {
            news();
        } else if (settled) {
            await();
        } else {
            whole(topics);
        }
    }

    private void whole(List<String> topics) {
        settled = true;
        answer(shared.answers().toWatcher(topics, true, -1, head()));
    }

    private Map<String, Object> head() {
        return shared.node().head(call);
    }

    /** Something has arrived in these topics. */
    void changed(Set<String> topics) {
        if (call != null && isAbout(topics)) {
            news();
        }
    }

    /** The other node that asks, or empty. */
    String peer() {
        return peer;
    }

    /** Whether an answer has waited to be taken for longer than this. */
    boolean isUntakenFor(double ms) {
        return untakenSince > 0 && shared.clock().now() - untakenSince > ms;
    }

    /** Whether it has had no call in hand, and nothing has passed on it, for longer than this. */
    boolean isIdleFor(double ms) {
        return call == null && shared.clock().now() - lastActive > ms;
    }

    /** The watcher's name, or empty where it has not told one. */
    String name() {
        return name;
    }

    void close() {
        channel.close();
    }

    /** Closes at once, with what the other side has not taken. */
    void reset() {
        channel.config().setSoLinger(0);
        channel.close();
    }

    private void await() {
        server.waits(this);
        end = shared.loop().schedule(this::give, call.waitMs(), TimeUnit.MILLISECONDS);
    }

    private boolean isAbout(Set<String> topics) {
        return call.isOfPeer()
                || topics.stream()
                        .anyMatch(topic -> call.topics().contains(topic)
                                || (call.all() && !topic.startsWith(VersionedEntry.SETTINGS_TOPIC_PREFIX)));
    }

    /** There is something to tell: now, or once the gap since the last answer is over. */
    private void news() {
        double inMs = nextAnswerAt - shared.clock().now();
        if (inMs <= 0) {
            if (call.isOfPeer()
                    && shared.store().entriesForPeerSince(peer, since).isEmpty()) {
                return;
            }
            give();
        } else if (paced == null) {
            paced = shared.loop()
                    .schedule(
                            () -> {
                                paced = null;
                                give();
                            },
                            (long) (inMs * 1e6),
                            TimeUnit.NANOSECONDS);
        }
    }

    private void give() {
        if (call == null) {
            return;
        }
        ByteBuf text;
        boolean news;
        if (call.isOfPeer()) {
            List<VersionedEntry> items = shared.store().entriesForPeerSince(peer, since);
            news = !items.isEmpty();
            text = shared.answers().toPeer(items, false, head());
        } else {
            List<String> topics = shared.topics(call);
            news = shared.store().hasNewer(topics, since);
            text = shared.answers().toWatcher(topics, false, since, head());
        }
        if (news) {
            nextAnswerAt = shared.clock().now() + (call.isOfPeer() ? PEER_GAP_MS : shared.gapMs());
        }
        answer(text);
    }

    private void refuse(HttpResponseStatus status, String why) {
        write(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8));
    }

    private void answer(ByteBuf text) {
        server.answered();
        write(HttpResponseStatus.OK, text);
    }

    private void write(HttpResponseStatus status, ByteBuf text) {
        done();
        int size = text.readableBytes();
        server.written(size);
        server.passed(name, null, 0, size + HEAD_BYTES);
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, size)
                .set(HttpHeaderNames.CONTENT_TYPE, status.code() == 200 ? "application/json" : "text/plain");
        HttpUtil.setKeepAlive(response, keepAlive);
        unwritten = size;
        ChannelFuture written = channel.writeAndFlush(response);
        if (written.isDone()) {
            written(written);
            return;
        }
        untakenSince = shared.clock().now();
        written.addListener(done -> written(written));
        server.untaken(this, size);
    }

    private void written(ChannelFuture written) {
        taken();
        lastActive = shared.clock().now();
        if (!written.isSuccess() || !keepAlive) {
            channel.close();
        }
    }

    /** Nothing of an answer waits to be taken any more. */
    private void taken() {
        server.taken(this, unwritten);
        unwritten = 0;
        untakenSince = 0;
    }

    /** No call is in hand from here on. */
    private void done() {
        call = null;
        server.waitsNoMore(this);
        if (end != null) {
            end.cancel(false);
            end = null;
        }
        if (paced != null) {
            paced.cancel(false);
            paced = null;
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        server.closed(this);
        done();
        taken();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            shared.log().error("a watcher's connection", cause);
        }
        ctx.close();
    }
}
