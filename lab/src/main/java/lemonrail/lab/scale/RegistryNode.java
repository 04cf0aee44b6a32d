package lemonrail.lab.scale;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in for the platform's registry: a single node that speaks the platform's watch protocol. It has many
 * lists, each at addresses of its own. All its state belongs to one event loop, whose lateness and processor time
 * are monitored. A response is encoded only once for all clients that name the same version.
 */
final class RegistryNode implements AutoCloseable {

    private static final int MAX_BODY_BYTES = 1024;
    private static final int ACCEPT_BACKLOG = 4096;
    /** Changes that are kept; a client whose version is older gets a full snapshot. */
    private static final int MAX_CHANGES = 8192;

    private static final double MAX_WAIT_MS = 60_000;
    private static final int MAX_RECORDED_CALLS = 16_384;
    private static final String PATH = "/registry/instances";

    private record Change(long version, String id) {}

    private record Watch(ChannelHandlerContext ctx, long sinceVersion, Future<?> timeout) {}

    /** An endpoint list and the clients that wait for changes to it. */
    private final class EndpointListState {
        private final Map<String, EndpointEntry> entries = new LinkedHashMap<>();
        /** The last entry of each endpoint, including removed ones. */
        private final Map<String, EndpointEntry> lastEntries = new HashMap<>();

        private final Deque<Change> changes = new ArrayDeque<>();
        private final Map<Channel, Watch> waitingWatches = new LinkedHashMap<>();
        /** Responses for the current version, by the version that the client has; -1 for a full snapshot. */
        private final Map<Long, ByteBuf> responses = new HashMap<>();

        private long version;
        /** Changes up to this version are no longer kept one by one. */
        private long lastDroppedVersion;

        void replace(List<EndpointEntry> all) {
            entries.clear();
            changes.clear();
            all.forEach(entry -> entries.put(entry.id(), entry));
            version++;
            lastDroppedVersion = version;
            notifyWatches();
        }

        long apply(Collection<EndpointEntry> updates) {
            version++;
            for (EndpointEntry entry : updates) {
                if (entry.state() == EndpointEntry.State.TERMINATED) {
                    entries.remove(entry.id());
                } else {
                    entries.put(entry.id(), entry);
                }
                lastEntries.put(entry.id(), entry);
                changes.addLast(new Change(version, entry.id()));
            }
            while (changes.size() > MAX_CHANGES) {
                lastDroppedVersion = changes.removeFirst().version;
            }
            notifyWatches();
            return version;
        }

        /** Releases the cached responses, which have become outdated. */
        private void releaseResponses() {
            responses.values().forEach(ByteBuf::release);
            responses.clear();
        }

        private void notifyWatches() {
            releaseResponses();
            List<Watch> ended = new ArrayList<>(waitingWatches.values());
            waitingWatches.clear();
            ended.forEach(watch -> {
                watch.timeout.cancel(false);
                respond(watch.ctx, watch.sinceVersion);
            });
        }

        void poll(ChannelHandlerContext ctx, long sinceVersion, double waitMs) {
            if (sinceVersion != version) {
                respond(ctx, sinceVersion);
                return;
            }
            Future<?> timeout = loop.schedule(
                    () -> {
                        if (waitingWatches.remove(ctx.channel()) != null) {
                            respond(ctx, sinceVersion);
                        }
                    },
                    (long) Math.min(MAX_WAIT_MS, waitMs),
                    TimeUnit.MILLISECONDS);
            waitingWatches.put(ctx.channel(), new Watch(ctx, sinceVersion, timeout));
        }

        void onConnectionClosed(Channel channel) {
            Watch watch = waitingWatches.remove(channel);
            if (watch != null) {
                watch.timeout.cancel(false);
            }
        }

        private void respond(ChannelHandlerContext ctx, long sinceVersion) {
            boolean isFull = sinceVersion < lastDroppedVersion || sinceVersion > version;
            ByteBuf response = responses.computeIfAbsent(isFull ? -1 : sinceVersion, this::encodeResponse);
            ctx.writeAndFlush(response.retainedDuplicate(), ctx.voidPromise());
        }

        private ByteBuf encodeResponse(long sinceVersion) {
            Collection<EndpointEntry> included = entries.values();
            if (sinceVersion >= 0) {
                Set<String> ids = new LinkedHashSet<>();
                for (var newest = changes.descendingIterator(); newest.hasNext(); ) {
                    Change change = newest.next();
                    if (change.version <= sinceVersion) {
                        break;
                    }
                    ids.add(change.id);
                }
                included = ids.stream().map(lastEntries::get).toList();
            }
            StringBuilder body = new StringBuilder("{\"version\":")
                    .append(version)
                    .append(",\"full\":")
                    .append(sinceVersion < 0)
                    .append(",\"servers\":[");
            int start = body.length();
            included.forEach(
                    entry -> body.append(body.length() == start ? "" : ",").append(entry.toJson()));
            byte[] bytes = body.append("]}").toString().getBytes(StandardCharsets.UTF_8);
            byte[] head = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                            + bytes.length
                            + "\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII);
            return Unpooled.directBuffer(head.length + bytes.length)
                    .writeBytes(head)
                    .writeBytes(bytes);
        }
    }

    /** An address at which a list is watched. */
    private final class Listener {
        private final EndpointListState listState;
        private final String groupName;
        private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        private Channel channel;

        Listener(EndpointListState listState, String groupName) {
            this.listState = listState;
            this.groupName = groupName;
        }

        void open() {
            channel = new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel connection) {
                            connections.add(connection);
                            connection
                                    .pipeline()
                                    .addLast(
                                            new TrafficCounter(groupName),
                                            new HttpRequestDecoder(),
                                            new HttpObjectAggregator(MAX_BODY_BYTES),
                                            new WatchRequestHandler(listState, groupName));
                        }
                    })
                    .bind(address)
                    .syncUninterruptibly()
                    .channel();
            address = (InetSocketAddress) channel.localAddress();
        }
    }

    private final MultiThreadIoEventLoopGroup loopGroup;
    private final EventLoop loop;
    private final EventLoopMonitor monitor;
    private final Map<String, EndpointListState> lists = new HashMap<>();
    private final Map<String, Listener> listeners = new LinkedHashMap<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final Traffic traffic = new Traffic();
    private final Map<String, Traffic> trafficByGroup = new HashMap<>();
    private final Map<String, List<ControlPlane.WatchCall>> callsByGroup = new HashMap<>();
    private boolean stopped;

    RegistryNode(String name) {
        loopGroup = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        loop = (EventLoop) loopGroup.next();
        monitor = new EventLoopMonitor(loop);
    }

    private <T> T runOnLoop(Callable<T> task) {
        return loop.submit(task).syncUninterruptibly().getNow();
    }

    private EndpointListState listState(String listName) {
        return lists.computeIfAbsent(listName, name -> new EndpointListState());
    }

    /** Returns the address at which a group watches a list; its traffic is counted for the group. */
    InetSocketAddress address(String listName, String groupName) {
        String key = listName + " " + groupName;
        EndpointListState listState = runOnLoop(() -> listState(listName));
        // Not on the event loop, because opening a listener waits for a registration there.
        Listener listener = listeners.computeIfAbsent(key, name -> {
            Listener created = new Listener(listState, groupName);
            created.open();
            return created;
        });
        return listener.address;
    }

    void replaceList(String listName, List<EndpointEntry> entries) {
        runOnLoop(() -> {
            listState(listName).replace(entries);
            return null;
        });
    }

    ControlPlane.Applied apply(Map<String, List<EndpointEntry>> changes) {
        return runOnLoop(() -> {
            long appliedNanos = System.nanoTime();
            Map<String, Long> versions = new HashMap<>();
            changes.forEach((listName, entries) ->
                    versions.put(listName, listState(listName).apply(entries)));
            return new ControlPlane.Applied(appliedNanos, versions);
        });
    }

    Map<String, EndpointEntry> entries(String listName) {
        return runOnLoop(() -> Map.copyOf(listState(listName).entries));
    }

    void stop() {
        listeners.values().forEach(listener -> listener.channel.close().syncUninterruptibly());
        runOnLoop(() -> {
            stopped = true;
            List.copyOf(connections).forEach(Channel::close);
            return null;
        });
    }

    void start(boolean withoutState) {
        runOnLoop(() -> {
            stopped = false;
            if (withoutState) {
                for (EndpointListState listState : lists.values()) {
                    listState.version = 0;
                    listState.replace(List.copyOf(listState.entries.values()));
                }
            }
            return null;
        });
        listeners.values().forEach(Listener::open);
    }

    ControlPlane.Cost takeCost() {
        EventLoopMonitor.Sample sample = monitor.takeAndReset();
        Traffic.Totals totals = runOnLoop(traffic::takeAndReset);
        return new ControlPlane.Cost(
                sample.cpuMs(),
                sample.lagP99Ms(),
                sample.maxLagMs(),
                totals.bytes(),
                totals.peakPerSecond(),
                totals.calls());
    }

    Traffic.Totals takeTraffic(String groupName) {
        return runOnLoop(() ->
                trafficByGroup.computeIfAbsent(groupName, name -> new Traffic()).takeAndReset());
    }

    List<ControlPlane.WatchCall> takeCalls(String groupName) {
        return runOnLoop(() -> {
            List<ControlPlane.WatchCall> calls = callsByGroup.remove(groupName);
            return calls == null ? List.of() : calls;
        });
    }

    @Override
    public void close() {
        monitor.close();
        runOnLoop(() -> {
            lists.values().forEach(EndpointListState::releaseResponses);
            return null;
        });
        loopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Counts the bytes on a connection, for its group and for the node. */
    private final class TrafficCounter extends ChannelDuplexHandler {
        private final Traffic groupTraffic;

        TrafficCounter(String groupName) {
            groupTraffic = trafficByGroup.computeIfAbsent(groupName, name -> new Traffic());
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            count(((ByteBuf) message).readableBytes());
            ctx.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            count(((ByteBuf) message).readableBytes());
            ctx.write(message, promise);
        }

        private void count(int bytes) {
            groupTraffic.addBytes(bytes);
            traffic.addBytes(bytes);
        }
    }

    private final class WatchRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final EndpointListState listState;
        private final String groupName;

        WatchRequestHandler(EndpointListState listState, String groupName) {
            this.listState = listState;
            this.groupName = groupName;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            if (stopped) {
                ctx.close();
            }
            ctx.fireChannelActive();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            QueryStringDecoder query = new QueryStringDecoder(request.uri());
            if (!query.path().equals(PATH)) {
                ctx.close();
                return;
            }
            traffic.addCall();
            trafficByGroup.get(groupName).addCall();
            List<String> index = query.parameters().get("index");
            if (index == null) {
                listState.respond(ctx, -1);
                return;
            }
            long sinceVersion = Long.parseLong(index.get(0));
            List<ControlPlane.WatchCall> calls = callsByGroup.computeIfAbsent(groupName, name -> new ArrayList<>());
            if (calls.size() < MAX_RECORDED_CALLS) {
                calls.add(new ControlPlane.WatchCall(System.nanoTime(), sinceVersion));
            }
            listState.poll(
                    ctx,
                    sinceVersion,
                    Double.parseDouble(query.parameters()
                            .getOrDefault("wait", List.of("0"))
                            .get(0)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            listState.onConnectionClosed(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
