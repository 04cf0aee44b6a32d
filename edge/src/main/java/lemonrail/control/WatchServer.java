package lemonrail.control;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.core.control.ControlState;
import lemonrail.core.control.InForce;
import lemonrail.core.control.Item;
import lemonrail.logging.EventLog;
import lemonrail.net.HttpListener;
import lemonrail.net.Sockets;
import lemonrail.time.Clock;

/**
 * Serves watches: one call in hand on a connection, answered at once where there is news, and else when there
 * is or its wait is over. What a watcher doesn't take in time ends its connection, so that it holds up
 * nobody and no memory.
 */
final class WatchServer {

    /** Versions of another boot are moved back by this: news takes that long from node to node at most. */
    static final long OVERLAP_MS = 10_000;
    /** An answer must be taken within this time, and a connection without a call for longer is closed. */
    static final long TAKEN_MS = 5_000;
    private static final long IDLE_MS = 65_000;
    private static final long SWEEP_MS = 500;
    /** Connections beyond the watchers' for other nodes and calls that are turned away. */
    private static final int SPARE_CONNECTIONS = 64;
    /** Answers that connections have not taken yet, in bytes; beyond it the longest at it is closed. */
    private static final long MOST_UNTAKEN_BYTES = 64L << 20;
    private static final double PEER_GAP_MS = 20;
    private static final int BACKLOG = 1024;
    private static final int MOST_LINE_BYTES = 16 * 1024;
    private static final int MOST_HEAD_BYTES = 8 * 1024;
    private static final int MOST_CHUNK_BYTES = 4 * 1024;
    private static final int MOST_BODY_BYTES = 1024;
    /** What a head has beside the call's path, about. */
    private static final int HEAD_BYTES = 80;

    /** What the node adds to each answer, and who may not be answered. */
    interface Node {
        /** The fields that tell which node answers and how old its knowledge is. */
        Map<String, Object> head(WatchCall call);

        /** Whether other nodes may be told what was kept, though sidecars are not yet. */
        boolean tellsPeers();

        /** Whether nothing passes between this node and another: tests and trials cut them apart. */
        boolean isCut(String peer);
    }

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final ControlState state;
    private final InForce inForce;
    private final Node node;
    private final String boot;
    private final int mostWatchers;
    private final double gapMs;
    private final Answers answers;
    private final Set<Connection> connections = new LinkedHashSet<>();
    /** Connections whose last answer has not gone to the system whole, the longest at it first. */
    private final Set<Connection> untaken = new LinkedHashSet<>();
    private final Set<Connection> waiting = new LinkedHashSet<>();
    private WatchObserver observer = (name, digest, calledBytes, answeredBytes) -> { };
    private long untakenBytes;
    private long answered;
    private long slowClosed;
    private long bytes;
    private Channel listener;
    private Future<?> sweeping;

    WatchServer(EventLoop loop, Clock clock, EventLog log, ControlState state, InForce inForce, Node node,
            String boot, int mostWatchers, double gapMs) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.state = state;
        this.inForce = inForce;
        this.node = node;
        this.boot = boot;
        this.mostWatchers = mostWatchers;
        this.gapMs = gapMs;
        answers = new Answers(state);
    }

    ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new HttpListener(BACKLOG, MOST_LINE_BYTES, MOST_HEAD_BYTES, MOST_CHUNK_BYTES,
            MOST_BODY_BYTES).bind(loop, Sockets.BUFFERS, address, Connection::new);
        listener = bound.channel();
        sweeping = loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return bound;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Connections that are open, calls that wait, answers given, their bytes, connections closed as slow. */
    List<Long> figures() {
        return List.of((long) connections.size(), (long) waiting.size(), answered, bytes, slowClosed,
            answers.made());
    }

    void observe(WatchObserver seeing) {
        observer = seeing;
    }

    /** Something has arrived in these topics. */
    void changed(Set<String> topics) {
        for (Connection connection : new ArrayList<>(waiting)) {
            if (connection.call != null && connection.isAbout(topics)) {
                connection.news();
            }
        }
    }

    /** Closes all connections with another node. */
    void cut(String peer) {
        new ArrayList<>(connections).stream().filter(connection -> connection.peer.equals(peer))
            .forEach(connection -> connection.channel.close());
    }

    void close() {
        if (sweeping != null) {
            sweeping.cancel(false);
        }
        if (listener != null) {
            listener.close();
        }
        new ArrayList<>(connections).forEach(connection -> connection.channel.close());
    }

    private void sweep() {
        double now = clock.now();
        for (Connection connection : new ArrayList<>(connections)) {
            if (connection.untakenSince > 0 && now - connection.untakenSince > TAKEN_MS) {
                slow(connection, "an answer was not taken in time");
            } else if (connection.call == null && now - connection.lastActive > IDLE_MS) {
                connection.channel.close();
            }
        }
    }

    private void slow(Connection connection, String why) {
        slowClosed++;
        log.trouble("watcher_closed", "a watcher's connection was closed", why, "watcher", connection.name);
        // At once, with what it has not taken.
        connection.channel.config().setSoLinger(0);
        connection.channel.close();
    }

    private List<String> topics(WatchCall call) {
        if (!call.all()) {
            return call.topics();
        }
        List<String> all = new ArrayList<>(call.topics());
        state.topics().stream().filter(topic -> !topic.startsWith(Item.SETTINGS)).forEach(all::add);
        return all;
    }

    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final SocketChannel channel;
        private WatchCall call;
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
        private double lastActive = clock.now();
        private double untakenSince;
        private long unwritten;
        private int callBytes;

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            connections.add(this);
            if (connections.size() > mostWatchers + SPARE_CONNECTIONS) {
                log.trouble("watchers_full", "a connection was turned away", "there are too many");
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            lastActive = clock.now();
            if (call != null || unwritten > 0) {
                slow(this, "it calls before it has its answer");
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
                    take(WatchCall.of(query));
                } catch (IllegalArgumentException e) {
                    refuse(HttpResponseStatus.BAD_REQUEST, String.valueOf(e.getMessage()));
                }
            }
        }

        private void take(WatchCall asked) {
            peer = asked.peer();
            if (asked.isOfPeer() && node.isCut(peer)) {
                channel.close();
                return;
            }
            if (!state.isReady() && !(asked.isOfPeer() && node.tellsPeers())) {
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready: no other node has been heard yet");
                return;
            }
            if (!asked.isOfPeer() && connections.size() > mostWatchers) {
                refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many watchers");
                return;
            }
            if (asked.word() != null) {
                name = asked.word().name();
                observer.passed(name, asked.digest(), callBytes, 0);
                inForce.called((long) clock.now(), asked.word());
            }
            call = asked;
            if (asked.isOfPeer()) {
                takePeer();
            } else {
                takeWatcher();
            }
        }

        private void takePeer() {
            if (call.index() < 0 || !call.from().equals(boot)) {
                answer(answers.toPeer(state.everything(), true, head()));
                return;
            }
            since = call.index();
            if (state.sinceForPeer(peer, since).isEmpty()) {
                await();
            } else {
                news();
            }
        }

        private void takeWatcher() {
            List<String> topics = topics(call);
            if (call.index() < 0 || call.digest() == null && !settled) {
                whole(topics);
                return;
            }
            since = call.from().equals(boot) || settled ? call.index()
                : ControlState.back(call.index(), OVERLAP_MS);
            if (!settled && state.digest(topics) == call.digest()) {
                settled = true;
                since = state.version((long) clock.now());
            }
            if (state.hasNewer(topics, since)) {
                news();
            } else if (settled) {
                await();
            } else {
                whole(topics);
            }
        }

        private void whole(List<String> topics) {
            settled = true;
            answer(answers.toWatcher(topics, true, -1, head()));
        }

        private Map<String, Object> head() {
            return node.head(call);
        }

        private void await() {
            waiting.add(this);
            end = loop.schedule(this::give, call.waitMs(), TimeUnit.MILLISECONDS);
        }

        private boolean isAbout(Set<String> topics) {
            return call.isOfPeer() || topics.stream().anyMatch(topic -> call.topics().contains(topic)
                || call.all() && !topic.startsWith(Item.SETTINGS));
        }

        /** There is something to tell: now, or once the gap since the last answer is over. */
        private void news() {
            double inMs = nextAnswerAt - clock.now();
            if (inMs <= 0) {
                if (call.isOfPeer() && state.sinceForPeer(peer, since).isEmpty()) {
                    return;
                }
                give();
            } else if (paced == null) {
                paced = loop.schedule(() -> {
                    paced = null;
                    give();
                }, (long) (inMs * 1e6), TimeUnit.NANOSECONDS);
            }
        }

        private void give() {
            if (call == null) {
                return;
            }
            ByteBuf text;
            boolean news;
            if (call.isOfPeer()) {
                List<Item> items = state.sinceForPeer(peer, since);
                news = !items.isEmpty();
                text = answers.toPeer(items, false, head());
            } else {
                List<String> topics = topics(call);
                news = state.hasNewer(topics, since);
                text = answers.toWatcher(topics, false, since, head());
            }
            if (news) {
                nextAnswerAt = clock.now() + (call.isOfPeer() ? PEER_GAP_MS : gapMs);
            }
            answer(text);
        }

        private void refuse(HttpResponseStatus status, String why) {
            write(status, Unpooled.copiedBuffer(why + "\n", StandardCharsets.UTF_8));
        }

        private void answer(ByteBuf text) {
            answered++;
            write(HttpResponseStatus.OK, text);
        }

        private void write(HttpResponseStatus status, ByteBuf text) {
            done();
            int size = text.readableBytes();
            bytes += size;
            observer.passed(name, null, 0, size + HEAD_BYTES);
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, text);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, size)
                .set(HttpHeaderNames.CONTENT_TYPE, status.code() == 200 ? "application/json" : "text/plain");
            HttpUtil.setKeepAlive(response, keepAlive);
            unwritten = size;
            ChannelFuture written = channel.writeAndFlush(response);
            if (written.isDone()) {
                written(written);
                return;
            }
            untakenSince = clock.now();
            untaken.add(this);
            untakenBytes += size;
            written.addListener(done -> written(written));
            while (untakenBytes > MOST_UNTAKEN_BYTES && !untaken.isEmpty()) {
                slow(untaken.iterator().next(), "too much waits to be taken");
            }
        }

        private void written(ChannelFuture written) {
            taken();
            lastActive = clock.now();
            if (!written.isSuccess() || !keepAlive) {
                channel.close();
            }
        }

        /** Nothing of an answer waits to be taken any more. */
        private void taken() {
            if (untaken.remove(this)) {
                untakenBytes -= unwritten;
            }
            unwritten = 0;
            untakenSince = 0;
        }

        /** No call is in hand from here on. */
        private void done() {
            call = null;
            waiting.remove(this);
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
            connections.remove(this);
            done();
            taken();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) {
                log.bug("a watcher's connection", cause);
            }
            ctx.close();
        }
    }
}
