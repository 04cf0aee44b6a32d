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
 * A stand-in for one node of today's control: a registry that speaks the platform's watch protocol, with many
 * lists, each at addresses of its own. All its state belongs to one event loop, whose lateness and processor
 * time are watched. An answer is written once for all who ask from the same version.
 */
final class RegistryNode implements AutoCloseable {

    private static final int MOST_BODY_BYTES = 1024;
    private static final int BACKLOG = 4096;
    /** Changes that are remembered; who asks from before them gets the whole list. */
    private static final int MOST_CHANGES = 8192;

    private static final double MOST_WAIT_MS = 60_000;
    private static final int MOST_HEARD = 16_384;
    private static final String PATH = "/registry/instances";

    private record Change(long version, String id) {}

    private record Watch(ChannelHandlerContext ctx, long index, Future<?> end) {}

    /** One list and who waits for changes to it. */
    private final class Listing {
        private final Map<String, EndpointEntry> lines = new LinkedHashMap<>();
        /** Endpoints as they were last told, gone ones among them. */
        private final Map<String, EndpointEntry> told = new HashMap<>();

        private final Deque<Change> changes = new ArrayDeque<>();
        private final Map<Channel, Watch> waiting = new LinkedHashMap<>();
        /** Answers of the version now, by the version that was asked from; -1 is the whole list. */
        private final Map<Long, ByteBuf> answers = new HashMap<>();

        private long version;
        /** The version up to which changes are not known one by one. */
        private long forgotten;

        void replace(List<EndpointEntry> all) {
            lines.clear();
            changes.clear();
            all.forEach(line -> lines.put(line.id(), line));
            version++;
            forgotten = version;
            changed();
        }

        long apply(Collection<EndpointEntry> news) {
            version++;
            for (EndpointEntry line : news) {
                if (line.state() == EndpointEntry.State.TERMINATED) {
                    lines.remove(line.id());
                } else {
                    lines.put(line.id(), line);
                }
                told.put(line.id(), line);
                changes.addLast(new Change(version, line.id()));
            }
            while (changes.size() > MOST_CHANGES) {
                forgotten = changes.removeFirst().version;
            }
            changed();
            return version;
        }

        /** Answers of before are of no more use. */
        private void drop() {
            answers.values().forEach(ByteBuf::release);
            answers.clear();
        }

        private void changed() {
            drop();
            List<Watch> ended = new ArrayList<>(waiting.values());
            waiting.clear();
            ended.forEach(watch -> {
                watch.end.cancel(false);
                write(watch.ctx, watch.index);
            });
        }

        void poll(ChannelHandlerContext ctx, long index, double waitMs) {
            if (index != version) {
                write(ctx, index);
                return;
            }
            Future<?> end = loop.schedule(
                    () -> {
                        if (waiting.remove(ctx.channel()) != null) {
                            write(ctx, index);
                        }
                    },
                    (long) Math.min(MOST_WAIT_MS, waitMs),
                    TimeUnit.MILLISECONDS);
            waiting.put(ctx.channel(), new Watch(ctx, index, end));
        }

        void left(Channel channel) {
            Watch watch = waiting.remove(channel);
            if (watch != null) {
                watch.end.cancel(false);
            }
        }

        private void write(ChannelHandlerContext ctx, long index) {
            boolean whole = index < forgotten || index > version;
            ByteBuf answer = answers.computeIfAbsent(whole ? -1 : index, this::answer);
            ctx.writeAndFlush(answer.retainedDuplicate(), ctx.voidPromise());
        }

        private ByteBuf answer(long index) {
            Collection<EndpointEntry> answered = lines.values();
            if (index >= 0) {
                Set<String> ids = new LinkedHashSet<>();
                for (var newest = changes.descendingIterator(); newest.hasNext(); ) {
                    Change change = newest.next();
                    if (change.version <= index) {
                        break;
                    }
                    ids.add(change.id);
                }
                answered = ids.stream().map(told::get).toList();
            }
            StringBuilder body = new StringBuilder("{\"version\":")
                    .append(version)
                    .append(",\"full\":")
                    .append(index < 0)
                    .append(",\"servers\":[");
            int start = body.length();
            answered.forEach(
                    line -> body.append(body.length() == start ? "" : ",").append(line.json()));
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

    /** A place where a list is watched. */
    private final class Listener {
        private final Listing listing;
        private final String group;
        private InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        private Channel channel;

        Listener(Listing listing, String group) {
            this.listing = listing;
            this.group = group;
        }

        void open() {
            channel = new ServerBootstrap()
                    .group(loop)
                    .channel(NioServerSocketChannel.class)
                    .option(ChannelOption.SO_BACKLOG, BACKLOG)
                    .option(ChannelOption.SO_REUSEADDR, true)
                    .childOption(ChannelOption.TCP_NODELAY, true)
                    .childHandler(new ChannelInitializer<SocketChannel>() {
                        @Override
                        protected void initChannel(SocketChannel fresh) {
                            connections.add(fresh);
                            fresh.pipeline()
                                    .addLast(
                                            new Counting(group),
                                            new HttpRequestDecoder(),
                                            new HttpObjectAggregator(MOST_BODY_BYTES),
                                            new Asked(listing, group));
                        }
                    })
                    .bind(address)
                    .syncUninterruptibly()
                    .channel();
            address = (InetSocketAddress) channel.localAddress();
        }
    }

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final LoopWatch watch;
    private final Map<String, Listing> listings = new HashMap<>();
    private final Map<String, Listener> listeners = new LinkedHashMap<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final Traffic traffic = new Traffic();
    private final Map<String, Traffic> groups = new HashMap<>();
    private final Map<String, List<ControlPlane.Heard>> heard = new HashMap<>();
    private boolean stopped;

    RegistryNode(String name) {
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory(name, true), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        watch = new LoopWatch(loop);
    }

    private <T> T on(Callable<T> what) {
        return loop.submit(what).syncUninterruptibly().getNow();
    }

    private Listing listing(String list) {
        return listings.computeIfAbsent(list, name -> new Listing());
    }

    /** Where a list is watched; the traffic there is counted for the group. */
    InetSocketAddress address(String list, String of) {
        String key = list + " " + of;
        Listing listing = on(() -> listing(list));
        // Not on the loop: a listener's own registration there is waited for.
        Listener listener = listeners.computeIfAbsent(key, name -> {
            Listener fresh = new Listener(listing, of);
            fresh.open();
            return fresh;
        });
        return listener.address;
    }

    void list(String list, List<EndpointEntry> lines) {
        on(() -> {
            listing(list).replace(lines);
            return null;
        });
    }

    ControlPlane.Applied apply(Map<String, List<EndpointEntry>> changes) {
        return on(() -> {
            long at = System.nanoTime();
            Map<String, Long> versions = new HashMap<>();
            changes.forEach((list, lines) -> versions.put(list, listing(list).apply(lines)));
            return new ControlPlane.Applied(at, versions);
        });
    }

    Map<String, EndpointEntry> lines(String list) {
        return on(() -> Map.copyOf(listing(list).lines));
    }

    void stop() {
        listeners.values().forEach(listener -> listener.channel.close().syncUninterruptibly());
        on(() -> {
            stopped = true;
            List.copyOf(connections).forEach(Channel::close);
            return null;
        });
    }

    void start(boolean fromNothing) {
        on(() -> {
            stopped = false;
            if (fromNothing) {
                for (Listing listing : listings.values()) {
                    listing.version = 0;
                    listing.replace(List.copyOf(listing.lines.values()));
                }
            }
            return null;
        });
        listeners.values().forEach(Listener::open);
    }

    ControlPlane.Cost cost() {
        LoopWatch.Seen seen = watch.take();
        Traffic.Seen carried = on(traffic::take);
        return new ControlPlane.Cost(
                seen.cpuMs(),
                seen.lagP99Ms(),
                seen.lagMostMs(),
                carried.bytes(),
                carried.peakPerSecond(),
                carried.calls());
    }

    Traffic.Seen traffic(String of) {
        return on(() -> groups.computeIfAbsent(of, name -> new Traffic()).take());
    }

    List<ControlPlane.Heard> heard(String of) {
        return on(() -> {
            List<ControlPlane.Heard> taken = heard.remove(of);
            return taken == null ? List.of() : taken;
        });
    }

    @Override
    public void close() {
        watch.close();
        on(() -> {
            listings.values().forEach(Listing::drop);
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Counts what passes on one connection. */
    private final class Counting extends ChannelDuplexHandler {
        private final Traffic own;

        Counting(String of) {
            own = groups.computeIfAbsent(of, name -> new Traffic());
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
            own.add(bytes);
            traffic.add(bytes);
        }
    }

    private final class Asked extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Listing listing;
        private final String of;

        Asked(Listing listing, String of) {
            this.listing = listing;
            this.of = of;
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
            traffic.called();
            groups.get(of).called();
            List<String> index = query.parameters().get("index");
            if (index == null) {
                listing.write(ctx, -1);
                return;
            }
            long from = Long.parseLong(index.get(0));
            List<ControlPlane.Heard> known = heard.computeIfAbsent(of, name -> new ArrayList<>());
            if (known.size() < MOST_HEARD) {
                known.add(new ControlPlane.Heard(System.nanoTime(), from));
            }
            listing.poll(
                    ctx,
                    from,
                    Double.parseDouble(query.parameters()
                            .getOrDefault("wait", List.of("0"))
                            .get(0)));
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            listing.left(ctx.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
