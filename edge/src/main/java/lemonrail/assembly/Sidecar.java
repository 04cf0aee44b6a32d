package lemonrail.assembly;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemonrail.admin.Operations;
import lemonrail.admin.OperatorsDoor;
import lemonrail.config.SidecarConfig;
import lemonrail.discovery.DiscoveryClient;
import lemonrail.exchange.Exchange;
import lemonrail.exchange.Front;
import lemonrail.exchange.Message;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.Shard;
import lemonrail.exchange.Upstream;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.Complaints;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.Budget;
import lemonrail.suspension.Suspensions;
import lemonrail.time.Clock;
import lemonrail.upgrade.Presence;

/** One real sidecar: its parts on one event loop, which is the only thread that touches any of them. */
public final class Sidecar {

    /** The part of the memory that bodies on their way may take, and what suits the heap at most. */
    private static final int BODIES_SHARE = 16;
    private static final int MOST_BODIES_MB = 8;
    /** Descriptors beyond those that the JVM holds from its start: warm-up, discovery, a round of accepts. */
    private static final int SPARE_SOCKETS = 32;
    /** What the JVM holds open where the system does not tell. */
    private static final int USUAL_FILES = 32;
    private static final int LEAST_CONNECTIONS = 8;
    /** New connections still come for a while after SIGTERM: until then the listener stays open. */
    private static final int LINGER_MS = 600;
    private static final int EMPTY_POLL_MS = 10;
    /** SIGKILL comes no sooner after SIGTERM than the longest deadline, or this, and the slack more. */
    private static final int MOST_WAIT_MS = 3000;
    private static final int KILL_SLACK_MS = 700;
    /** The last of that time belongs to what is in hand, and the very last to a busy machine. */
    private static final int FINISH_MS = 700;
    private static final int DRAIN_SLACK_MS = 300;
    /** How often it is seen to what the sidecar's other process does, if there is one. */
    private static final int LOOK_ROUND_MS = 100;

    private final Path file;
    private final Map<String, String> environment;
    private final PrintStream log;
    private final SidecarConfig config;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Protocol<?, ?> protocol;
    private final Lifecycle lifecycle = new Lifecycle(() -> knowsEndpoints());
    private Shard shard;
    private final Metrics metrics;
    private Complaints complaints;
    private Suspensions suspensions;
    private Presence presence;
    private OperatorsDoor door;
    private Front frontend;
    private DiscoveryClient discovery;
    private Upstream<?, ?> endpoints;
    private InetSocketAddress address;
    private int ownFiles;
    private boolean sharesLimits;
    private Exchange<?, ?> exchange;

    private Sidecar(Protocol<?, ?> protocol, Path file, Map<String, String> environment, PrintStream log)
            throws IOException {
        this.protocol = protocol;
        this.file = file;
        this.environment = environment;
        this.log = log;
        config = SidecarConfig.read(file, environment);
        metrics = new Metrics(config.classNames());
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("sidecar"),
            NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
    }

    /** Reads the configuration and builds the parts; what goes wrong is an exception that says so plainly. */
    public static Sidecar create(Protocol<?, ?> protocol, Path file, Map<String, String> environment,
            PrintStream log) throws IOException {
        Sidecar sidecar = new Sidecar(protocol, file, environment, log);
        sidecar.loop.submit(sidecar::build).syncUninterruptibly();
        return sidecar;
    }

    /**
     * Opens the operators' door, then the clients' listener. Beside an older process that comes last, when
     * all else stands, as the system then hands part of the new connections to this one; after a plain
     * restart it comes first, as a front that has noticed nothing goes on connecting.
     */
    public void open() throws IOException {
        long began = System.nanoTime();
        try {
            if (config.mgmt() != null) {
                awaitBound("mgmt", config.mgmt(), door.listen(config.mgmt()));
            }
            if (!sharesLimits) {
                listen();
            }
            CountDownLatch warm = new CountDownLatch(1);
            loop.execute(() -> protocol.warmUp(shard,
                config.listen().getAddress(), config.kept("warm-up"), warm::countDown));
            warm.await();
            if (address == null) {
                listen();
            }
            loop.submit(lifecycle::started).sync();
            log.println("lemonrail: serving at " + address + ", warm after "
                + (System.nanoTime() - began) / 1_000_000 + " ms");
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void listen() throws IOException, InterruptedException {
        ChannelFuture bound = loop.submit(() -> frontend.listen(config.listen())).sync().getNow();
        awaitBound("listen", config.listen(), bound);
        address = (InetSocketAddress) bound.channel().localAddress();
    }

    private void awaitBound(String field, InetSocketAddress at, ChannelFuture bound)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            stop();
            throw new IOException("field " + field + ": cannot listen on " + at + ": "
                + bound.cause().getMessage());
        }
    }

    private void build() {
        Clock clock = new Clock();
        complaints = new Complaints(clock, log);
        suspensions = new Suspensions(config.kept("suspended"), complaints::say);
        presence = new Presence(config.kept("processes"), complaints::say);
        ownFiles = openFiles() + SPARE_SOCKETS + (config.mgmt() == null ? 0 : OperatorsDoor.MOST_CONNECTIONS);
        sharesLimits = presence.hasOther();
        int half = half();
        double bodiesMb = Math.min(MOST_BODIES_MB, config.memoryMb() / BODIES_SHARE);
        Budget budget = new Budget((long) (bodiesMb * 1024 * 1024));
        shard = new Shard(loop, clock, complaints, metrics, budget, lifecycle, config.settings(),
            config.idleCloseMs());
        discovery = new DiscoveryClient(loop, config.discovery(), config.names(), complaints);
        connect(protocol, half);
        discovery.listen(exchange, config.known().version());
        door = new OperatorsDoor(loop, Sockets.BUFFERS, new Controls(), complaints::bug);
        metrics.gauge("targets", suspensions::listed);
        metrics.gauge("targets_disabled", () -> suspensions.listedSuspended() + exchange.avoided());
        loop.scheduleWithFixedDelay(this::lookRound, LOOK_ROUND_MS, LOOK_ROUND_MS, TimeUnit.MILLISECONDS);
    }

    private <M extends Message, A> void connect(Protocol<M, A> spoken, int half) {
        Upstream<M, A> upstream = spoken.upstream(shard, half);
        Exchange<M, A> between = new Exchange<>(shard, upstream, suspensions, config.seed(), config.known(),
            discovery::watch);
        endpoints = upstream;
        exchange = between;
        frontend = spoken.front(shard, between, clients(half));
    }

    private boolean knowsEndpoints() {
        return exchange != null && exchange.knowsEndpoints();
    }

    /** Connections for clients, and as many to endpoints; two processes share what one may hold. */
    private int half() {
        return Math.max(LEAST_CONNECTIONS, (config.sockets() / (sharesLimits ? 2 : 1) - ownFiles) / 2);
    }

    private int clients(int half) {
        return Math.max(LEAST_CONNECTIONS, half - protocol.overflow());
    }

    private static int openFiles() {
        String[] names = new File("/proc/self/fd").list();
        return names == null ? USUAL_FILES : names.length;
    }

    /** Takes in what the sidecar's other process has done; a failure must not be the end of looking. */
    private void lookRound() {
        try {
            exchange.retell(suspensions.refresh());
            shareLimits(presence.hasOther());
        } catch (RuntimeException e) {
            complaints.bug("looking round failed", e);
        }
    }

    private void shareLimits(boolean shares) {
        if (shares != sharesLimits) {
            sharesLimits = shares;
            complaints.say(shares ? "another process of this sidecar runs: the limits are shared"
                : "the only process of this sidecar from now on");
            int half = half();
            endpoints.bound(half);
            frontend.bound(clients(half));
        }
    }

    /**
     * Reads the configuration again and moves to the discovery that it names; the rest of it holds from the
     * next start on. One that cannot be used changes nothing.
     */
    public void reload() {
        loop.execute(() -> {
            try {
                InetSocketAddress named = SidecarConfig.read(file, environment).discovery();
                log.println("lemonrail: configuration read again: discovery is at " + named);
                discovery.move(named);
                metrics.reloaded(true);
            } catch (IOException | RuntimeException e) {
                log.println("lemonrail: the configuration stays as it was: " + e.getMessage());
                metrics.reloaded(false);
            }
        });
    }

    /**
     * Answers all that is in hand and still comes in, then returns; the sidecar has nothing left to do. While
     * there is time clients go on using the connections that they have: where the others that could serve
     * them are still starting, they would find nobody. With a successor at the same address the listener goes
     * at once instead, and each answer is the last on its connection.
     */
    public void terminate() {
        CountDownLatch empty = new CountDownLatch(1);
        long mostDeadlineMs = config.settings().classes().stream()
            .mapToLong(kind -> (long) kind.deadlineMs()).max().orElse(0);
        long killedAfterMs = Math.min(mostDeadlineMs, MOST_WAIT_MS) + KILL_SLACK_MS;
        long endMs = killedAfterMs - DRAIN_SLACK_MS;
        long lastCallMs = Math.max(LINGER_MS, endMs - FINISH_MS);
        loop.execute(() -> {
            lifecycle.stop();
            frontend.endAfter(endMs);
            boolean succeeded = presence.hasOther();
            log.println("lemonrail: stopping" + (succeeded ? ", another process goes on" : ""));
            if (succeeded) {
                frontend.leave();
            }
        });
        loop.schedule(frontend::closeListener, LINGER_MS, TimeUnit.MILLISECONDS);
        loop.schedule(frontend::finish, lastCallMs, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(() -> {
            if (frontend.isEmpty()) {
                empty.countDown();
            }
        }, LINGER_MS, EMPTY_POLL_MS, TimeUnit.MILLISECONDS);
        try {
            // Every request has had its answer by then; who does not take it is not waited for.
            empty.await(endMs + DRAIN_SLACK_MS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.println(empty.getCount() == 0 ? "lemonrail: all connections are done with"
            : "lemonrail: not all connections were empty in time");
        stop();
    }

    /** What its tables hold: open requests and known endpoints; to be asked on the event loop. */
    List<Integer> tableSizes() {
        return List.of(exchange.openRequests(), endpoints.size());
    }

    EventLoop loop() {
        return loop;
    }

    /** Where clients connect. */
    InetSocketAddress address() {
        return address;
    }

    /** Where operators call. */
    InetSocketAddress doorAddress() {
        return door.address();
    }

    /** Ends everything at once. */
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try {
            presence.close();
        } catch (IOException e) {
            complaints.say("cannot leave the list of processes: " + e.getMessage());
        }
    }

    /** What operators may have done, carried out by the parts that own the state. */
    private final class Controls implements Operations {

        @Override
        public boolean ready() {
            return lifecycle.isReady();
        }

        @Override
        public String phase() {
            return lifecycle.word();
        }

        @Override
        public String figures() {
            return metrics.render();
        }

        @Override
        public Verdict suspend(String endpoint) {
            return change("suspended", endpoint, () -> suspensions.suspend(endpoint));
        }

        @Override
        public Verdict resume(String endpoint) {
            return change("resumed", endpoint, () -> suspensions.resume(endpoint));
        }

        private Verdict change(String word, String endpoint, Change change) {
            if (!suspensions.knows(endpoint)) {
                return Verdict.UNKNOWN_ENDPOINT;
            }
            try {
                Set<String> changed = change.make();
                if (!changed.isEmpty()) {
                    complaints.say(word + " by hand: " + endpoint);
                }
                exchange.retell(changed);
                return Verdict.DONE;
            } catch (IOException e) {
                complaints.say(endpoint + " is not " + word + ": " + e.getMessage());
                return Verdict.FAILED;
            }
        }

        @Override
        public void drain() {
            if (lifecycle.drain()) {
                complaints.say("drain by hand: connections are emptied until the sidecar is activated");
                frontend.drain();
            }
        }

        @Override
        public void activate() {
            if (lifecycle.activate()) {
                complaints.say("activated by hand: the drain is over");
                frontend.activate();
            }
        }
    }

    /** A change of the suspensions; returns the ids that are seen otherwise from now on. */
    private interface Change {
        Set<String> make() throws IOException;
    }
}
