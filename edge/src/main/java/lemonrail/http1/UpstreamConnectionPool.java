package lemonrail.http1;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import lemonrail.discovery.EndpointList;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Upstream;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.BodyPipe;
import lemonrail.streaming.BufferBudget;
import lemonrail.time.Clock;

/** The connections to each endpoint: one request at a time on each, kept alive, bounded in all. */
final class UpstreamConnectionPool implements Upstream<RequestMessage, UpstreamResponse> {

    /** An idle connection is closed at this part of the time after which the endpoint may close it. */
    private static final double IDLE_SHARE = 0.5;

    private static final int SWEEPS = 10;
    /**
     * Bytes that don't belong to an answer may come a little after it, and would pass for the next one: no
     * connection is used before. Second answers were seen 2 to 5 ms late.
     */
    private static final double SETTLE_MS = 10;
    /** The least time that an attempt tells its endpoint. */
    private static final double LEAST_TOLD_MS = 1;

    /** One request on its way to an endpoint. */
    private final class OneAttempt implements Upstream.Attempt {
        private final RequestMessage request;
        private final double waitMs;
        /** When it stops being waited for, unless its body takes longer to send. */
        private final double endsAt;

        private Upstream.Ending<UpstreamResponse> ending;
        private Connection connection;
        /** Tells when the last byte has been handed to the network: from then on the request may have run. */
        private Future<?> lastByte;

        private OneAttempt(RequestMessage request, double waitMs, Upstream.Ending<UpstreamResponse> ending) {
            this.request = request;
            this.waitMs = waitMs;
            endsAt = clock.now() + waitMs;
            this.ending = ending;
        }

        /** What is left of its time as it is sent: its connection may have been long in coming up. */
        private double leftMs() {
            return Math.max(LEAST_TOLD_MS, endsAt - clock.now());
        }

        @Override
        public boolean mayHaveRun() {
            return lastByte != null && lastByte.isSuccess();
        }

        @Override
        public boolean giveUp() {
            ending = null;
            connection.close();
            return mayHaveRun();
        }

        private void end(AttemptOutcome outcome, UpstreamResponse answer) {
            Upstream.Ending<UpstreamResponse> told = ending;
            ending = null;
            if (told != null) {
                told.ended(outcome, answer);
            }
        }
    }

    private static final class Endpoint {
        /** Null once another endpoint has taken its place. */
        InetSocketAddress address;

        double startedMs;
        /** The most recently used last. */
        final Deque<Connection> idle = new ArrayDeque<>();
        /** Raised when the endpoint's connections are of no more use; older ones are not kept. */
        int generation;
    }

    private final Clock clock;
    private final EventLog log;
    private final Bootstrap bootstrap;
    private final double idleMs;
    private final Metrics metrics;
    private final BufferBudget budget;
    private int most;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** Whose an address is. */
    private final Map<InetSocketAddress, Endpoint> owners = new HashMap<>();
    /** All idle connections, the longest idle first. */
    private final Set<Connection> idle = new LinkedHashSet<>();

    private final Future<?> sweeping;
    private int open;

    UpstreamConnectionPool(EventLoopContext shard, int most) {
        clock = shard.clock();
        log = shard.log().in("http1");
        metrics = shard.metrics();
        budget = shard.budget();
        this.most = most;
        idleMs = shard.idleCloseMs() * IDLE_SHARE;
        double dialMs = shard.settings().limits().connectTimeoutMs();
        bootstrap = new Bootstrap()
                .group(shard.loop())
                .channelFactory(EndpointSocket::new)
                .option(ChannelOption.ALLOCATOR, Sockets.BUFFERS)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, Sockets.WRITE_MARKS)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Sockets.readSizes())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.ceil(dialMs));
        long sweep = (long) Math.ceil(idleMs / SWEEPS);
        sweeping = shard.loop().scheduleWithFixedDelay(this::closeStale, sweep, sweep, TimeUnit.MILLISECONDS);
    }

    /** Takes in where endpoints listen; connections to a process or address that is no more are dropped. */
    @Override
    public void update(EndpointList list) {
        if (list.full()) {
            Set<String> named = new HashSet<>();
            list.entries().forEach(entry -> named.add(entry.endpoint().id()));
            for (String id : List.copyOf(endpoints.keySet())) {
                if (!named.contains(id)) {
                    forget(id);
                }
            }
        }
        for (EndpointList.Entry entry : list.entries()) {
            String id = entry.endpoint().id();
            if (entry.endpoint().state() == EndpointState.GONE) {
                forget(id);
                continue;
            }
            Endpoint endpoint = endpoints.computeIfAbsent(id, k -> new Endpoint());
            if (!entry.address().equals(endpoint.address) || entry.endpoint().startedMs() != endpoint.startedMs) {
                retire(endpoint);
            }
            endpoint.startedMs = entry.endpoint().startedMs();
            settleAddress(endpoint, entry.address());
        }
    }

    private void forget(String id) {
        Endpoint gone = endpoints.remove(id);
        if (gone != null) {
            retire(gone);
            leaveAddress(gone);
        }
    }

    /** At one address there is one process: what was there before it is not there any more. */
    private void settleAddress(Endpoint told, InetSocketAddress address) {
        leaveAddress(told);
        Endpoint other = owners.get(address);
        if (other != null && told.startedMs < other.startedMs) {
            retire(told);
            return;
        }
        if (other != null) {
            retire(other);
            leaveAddress(other);
        }
        told.address = address;
        owners.put(address, told);
    }

    private void leaveAddress(Endpoint leaving) {
        owners.remove(leaving.address, leaving);
        leaving.address = null;
    }

    @Override
    public void bound(int connections) {
        most = connections;
    }

    @Override
    public int size() {
        return endpoints.size();
    }

    private static void retire(Endpoint endpoint) {
        endpoint.generation++;
        closeAll(endpoint);
    }

    @Override
    public void disconnect(String id) {
        Endpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            closeAll(endpoint);
        }
    }

    private static void closeAll(Endpoint endpoint) {
        for (Connection connection : List.copyOf(endpoint.idle)) {
            connection.close();
        }
    }

    @Override
    public Upstream.Attempt send(
            String id, RequestMessage request, double waitMs, Upstream.Ending<UpstreamResponse> ending) {
        OneAttempt attempt = new OneAttempt(request, waitMs, ending);
        Endpoint endpoint = endpoints.get(id);
        closeStale();
        Connection connection = endpoint == null ? null : reusable(endpoint);
        if (connection != null) {
            connection.write(attempt);
        } else if (endpoint == null || endpoint.address == null) {
            refuse(attempt, id, "no address is known of " + id);
        } else if (!hasRoom()) {
            refuse(attempt, id, "all " + most + " connections to endpoints are busy");
        } else {
            new Connection(endpoint).open(attempt);
        }
        return attempt;
    }

    /** The most recently used idle connection that is still in good order; others are closed. */
    private Connection reusable(Endpoint endpoint) {
        double settled = clock.now() - SETTLE_MS;
        List<Connection> stale = new ArrayList<>();
        Connection found = null;
        for (var newest = endpoint.idle.descendingIterator(); newest.hasNext() && found == null; ) {
            Connection connection = newest.next();
            if (connection.idleSince <= settled) {
                if (connection.channel.isSilent()) {
                    found = connection;
                } else {
                    stale.add(connection);
                }
            }
        }
        stale.forEach(Connection::close);
        return found;
    }

    private void refuse(OneAttempt attempt, String id, String why) {
        log.trouble("no_connection", "no connection", why, "endpoint", id);
        attempt.end(AttemptOutcome.CONNECT_ERROR, null);
    }

    private boolean hasRoom() {
        for (int over = open - most; over >= 0; over--) {
            if (!closeLongestIdle()) {
                return open < most;
            }
        }
        return true;
    }

    private boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        idle.iterator().next().close();
        return true;
    }

    private void closeStale() {
        double before = clock.now() - idleMs;
        while (!idle.isEmpty() && idle.iterator().next().idleSince < before) {
            closeLongestIdle();
        }
    }

    @Override
    public void close() {
        sweeping.cancel(false);
        endpoints.values().forEach(UpstreamConnectionPool::closeAll);
    }

    private final class Connection implements ResponseReader.Listener {
        private final Endpoint endpoint;
        private final int generation;
        private final ResponseReader reader = new ResponseReader(this);
        private EndpointSocket channel;
        private OneAttempt attempt;
        /** What writes the rest of a large request, and where a large answer goes; else null. */
        private PipeWriter writer;

        private BodyPipe answer;
        private double idleSince;

        Connection(Endpoint endpoint) {
            this.endpoint = endpoint;
            generation = endpoint.generation;
        }

        void open(OneAttempt first) {
            attempt = first;
            first.connection = this;
            open++;
            ChannelFuture connecting = bootstrap
                    .clone()
                    .handler(new ChannelInitializer<EndpointSocket>() {
                        @Override
                        protected void initChannel(EndpointSocket fresh) {
                            fresh.pipeline().addLast(new HttpRequestEncoder());
                            reader.addTo(fresh.pipeline());
                            fresh.pipeline().addLast(new Troubles());
                        }
                    })
                    .connect(endpoint.address);
            channel = (EndpointSocket) connecting.channel();
            channel.closeFuture().addListener(closed -> {
                open--;
                lost();
            });
            connecting.addListener(connected -> {
                if (!connected.isSuccess()) {
                    channel.close();
                    lost();
                } else if (first.ending == null || generation != endpoint.generation || !first.ending.mayBegin()) {
                    // It leads to what stands there no more, or to what takes nothing new any more.
                    channel.close();
                    lost();
                } else {
                    send(first);
                }
            });
        }

        void write(OneAttempt next) {
            endpoint.idle.remove(this);
            idle.remove(this);
            attempt = next;
            next.connection = this;
            send(next);
        }

        private void send(OneAttempt sent) {
            if (sent.request.rest() == null) {
                await(sent, channel.writeAndFlush(sent.request.whole(sent.leftMs())));
                return;
            }
            channel.write(sent.request.head(sent.waitMs));
            channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(sent.request.body())));
            // An endpoint that is full need not wait for all of a large body to say so.
            reader.expect();
            writer = new PipeWriter(channel, sent.request.rest(), new PipeWriter.Ending() {
                @Override
                public void whole(ChannelFuture lastPart) {
                    writer = null;
                    await(sent, lastPart);
                }

                @Override
                public void cut() {
                    close();
                }
            });
            sent.request.rest().to(writer);
        }

        private void await(OneAttempt sent, ChannelFuture lastPart) {
            sent.lastByte = lastPart;
            lastPart.addListener(done -> written(sent, done));
        }

        private void written(OneAttempt sent, Future<?> done) {
            if (!done.isSuccess()) {
                channel.close();
                return;
            }
            metrics.dispatched();
            reader.expect();
            if (sent.ending != null) {
                sent.ending.written();
            }
        }

        void close() {
            endpoint.idle.remove(this);
            idle.remove(this);
            channel.close();
        }

        /** The connection is no more; the attempt on it ends by whether its last byte was written. */
        private void lost() {
            endpoint.idle.remove(this);
            idle.remove(this);
            OneAttempt ended = attempt;
            attempt = null;
            stopWriting();
            BodyPipe cut = answer;
            answer = null;
            if (ended != null) {
                ended.end(ended.mayHaveRun() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_ERROR, null);
            }
            if (cut != null) {
                cut.fail();
            }
        }

        private void stopWriting() {
            if (writer != null) {
                writer.stop();
                writer = null;
            }
        }

        @Override
        public void answered(UpstreamResponse whole, boolean clean) {
            OneAttempt ended = release(clean && whole.keepAlive());
            if (ended != null) {
                AttemptOutcome outcome = outcome(whole);
                // Served, though its request was never whole: whatever that is, it is no answer.
                ended.end(outcome == AttemptOutcome.OK && !ended.mayHaveRun() ? AttemptOutcome.RESET : outcome, whole);
            }
        }

        @Override
        public BodyPipe streaming(UpstreamResponse beginning) {
            answer = new BodyPipe(budget, on -> channel.config().setAutoRead(on));
            if (attempt != null && attempt.ending != null && attempt.mayHaveRun()) {
                attempt.ending.streaming(beginning, answer);
            } else {
                answer.close();
                close();
            }
            return answer;
        }

        @Override
        public void streamed(boolean clean) {
            answer = null;
            OneAttempt ended = release(clean);
            if (ended != null) {
                ended.end(AttemptOutcome.OK, null);
            }
        }

        /** Ends the attempt's time on this connection, which is kept for others if it may be. */
        private OneAttempt release(boolean usable) {
            OneAttempt ended = attempt;
            attempt = null;
            stopWriting();
            // First the connection, then the word: what it leads to may need the connection.
            if (usable
                    && channel.isActive()
                    && generation == endpoint.generation
                    && (ended == null || ended.mayHaveRun())) {
                channel.config().setAutoRead(true);
                idleSince = clock.now();
                endpoint.idle.addLast(this);
                idle.add(this);
            } else {
                channel.close();
            }
            return ended;
        }

        @Override
        public void spoilt() {
            close();
        }

        private final class Troubles extends ChannelInboundHandlerAdapter {
            @Override
            public void channelWritabilityChanged(ChannelHandlerContext ctx) {
                if (writer != null) {
                    writer.more();
                }
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                // A reset is an everyday end of an attempt and told as such; the rest operators should see.
                if (!(cause instanceof java.io.IOException)) {
                    log.bug("connection to an endpoint", cause);
                }
                close();
            }
        }
    }

    private static AttemptOutcome outcome(UpstreamResponse answer) {
        int status = answer.status();
        if (status == 200) {
            return AttemptOutcome.OK;
        }
        if ((status == 503 || status == 504) && answer.notRun()) {
            return AttemptOutcome.QUEUE_FULL;
        }
        // The request was turned away for what it is, which says nothing of the endpoint.
        return status >= 400 && status < 500 ? AttemptOutcome.IGNORED : AttemptOutcome.FAILED;
    }
}
