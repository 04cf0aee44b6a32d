package lemonrail.assembly;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import lemonrail.admin.AdminOperations;
import lemonrail.admin.AdminServer;
import lemonrail.config.ConfigSource;
import lemonrail.config.EdgeConfig;
import lemonrail.config.LoadedConfiguration;
import lemonrail.config.PlatformFile;
import lemonrail.config.SettingsDocument;
import lemonrail.core.WatchSchedule;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.policy.BoxcarLoadBalancer;
import lemonrail.discovery.ControlClient;
import lemonrail.discovery.DiscoveryClient;
import lemonrail.discovery.SettingsOutcome;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.ProtocolRequest;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSink;
import lemonrail.logging.Severity;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;
import lemonrail.time.EventLoopLag;
import lemonrail.time.LagMeasuringIoHandler;
import lemonrail.upgrade.SiblingProcessLock;

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
    /** So long after its time's end what has come since SIGTERM has its answer; the rest gets it then. */
    private static final int LAST_ANSWER_MS = 10;
    /** How often it is seen to what the sidecar's other process does, if there is one. */
    private static final int LOOK_ROUND_MS = 100;
    /** Loggers that may have a level of their own. */
    private static final int MOST_LEVELS = 64;

    private final ConfigSource source;
    private final LogSink sink;
    private final EdgeConfig config;
    /** The values in force, which a reload compares with the file's. */
    private List<LoadedConfiguration.Value> values;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final EventLoopLag lag = new EventLoopLag();
    private final Protocol<?, ?> protocol;
    private final LoadBalancerFactory decider;
    private final Lifecycle lifecycle = new Lifecycle(() -> knowsEndpoints());
    private EventLoopContext shard;
    private final Metrics metrics;
    private EventLog log;
    private SuspendedEndpoints suspensions;
    private SiblingProcessLock presence;
    private AdminServer adminServer;
    private Listeners listeners;
    private DiscoveryClient discovery;
    private ControlClient control;
    /** What may change of the settings while it runs is in these. */
    private volatile BalancerSettings inForce;

    private Upstream<?, ?> endpoints;
    private final List<InetSocketAddress> addresses = new CopyOnWriteArrayList<>();
    private int ownFiles;
    private boolean sharesLimits;
    /** A reload is under way, and another is wanted after it. */
    private boolean reloading;

    private boolean reloadAgain;
    private RequestDispatcher<?, ?> exchange;

    private Sidecar(
            Protocol<?, ?> protocol,
            ConfigSource source,
            LoadedConfiguration loaded,
            LogSink sink,
            LoadBalancerFactory decider) {
        this.protocol = protocol;
        this.decider = decider;
        this.source = source;
        values = loaded.values();
        config = loaded.config();
        inForce = config.settings();
        this.sink = sink;
        metrics = new Metrics(config.classNames());
        group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("sidecar"), new LagMeasuringIoHandler(NioIoHandler.newFactory(), lag));
        loop = (EventLoop) group.next();
    }

    /** Builds the parts by a configuration that was loaded from this source, which a reload reads again. */
    public static Sidecar create(
            Protocol<?, ?> protocol, ConfigSource source, LoadedConfiguration loaded, LogSink sink) {
        return create(protocol, source, loaded, sink, BoxcarLoadBalancer::new);
    }

    /** The same, with another decider in place of the project's own, as experiments have it. */
    public static Sidecar create(
            Protocol<?, ?> protocol,
            ConfigSource source,
            LoadedConfiguration loaded,
            LogSink sink,
            LoadBalancerFactory decider) {
        Sidecar sidecar = new Sidecar(protocol, source, loaded, sink, decider);
        sidecar.loop.submit(sidecar::build).syncUninterruptibly();
        return sidecar;
    }

    /**
     * Opens the admin API, warms up, and then listens for clients. Until then a client's connect is
     * refused at once, and it goes elsewhere: what came earlier would wait in the listener's queue for a loop
     * that the start keeps busy, and be answered late or never where the processor is short.
     */
    public void open() throws IOException {
        long began = System.nanoTime();
        try {
            if (config.admin() != null) {
                awaitBound("the operators' door", config.admin(), adminServer.listen(config.admin()));
            }
            CountDownLatch warm = new CountDownLatch(1);
            loop.execute(() -> protocol.warmUp(
                    shard, config.listeners().get(0).getAddress(), config.kept("warm-up"), warm::countDown));
            warm.await();
            listen();
            loop.submit(() -> {
                        // What the start itself has kept the loop from tells nothing of what is to come.
                        lag.forget();
                        lifecycle.started();
                    })
                    .sync();
            long tookMs = (System.nanoTime() - began) / 1_000_000;
            InetSocketAddress at = addresses.get(0);
            log.info(
                    "serving",
                    "serving at " + addresses.stream().map(String::valueOf).collect(Collectors.joining(" and "))
                            + ", warm after " + tookMs + " ms",
                    "address",
                    at,
                    "took_ms",
                    tookMs);
        } catch (InterruptedException e) {
            throw new IOException("interrupted while starting", e);
        }
    }

    private void listen() throws IOException, InterruptedException {
        for (InetSocketAddress at : config.listeners()) {
            ChannelFuture bound = loop.submit(() -> listeners.open(at)).sync().getNow();
            awaitBound("listen", at, bound);
            addresses.add((InetSocketAddress) bound.channel().localAddress());
        }
    }

    private void awaitBound(String field, InetSocketAddress at, ChannelFuture bound)
            throws IOException, InterruptedException {
        if (!bound.await().isSuccess()) {
            stop();
            throw new IOException(
                    field + ": cannot listen on " + at + ": " + bound.cause().getMessage());
        }
    }

    private void build() {
        Clock clock = new Clock(lag);
        log = new EventLog(clock, sink);
        suspensions = new SuspendedEndpoints(config.kept("suspended"), log);
        presence = new SiblingProcessLock(config.kept("processes"), log);
        ownFiles = openFiles() + SPARE_SOCKETS + (config.admin() == null ? 0 : AdminServer.MOST_CONNECTIONS);
        sharesLimits = presence.hasOther();
        int half = half();
        double bodiesMb = Math.min(MOST_BODIES_MB, config.memoryMb() / BODIES_SHARE);
        BufferBudget budget = new BufferBudget((long) (bodiesMb * 1024 * 1024));
        shard = new EventLoopContext(
                loop, clock, log, metrics, budget, lifecycle, config.settings(), config.idleCloseMs());
        discovery = config.discovery() == null
                ? null
                : new DiscoveryClient(
                        loop, config.discovery(), config.names(), config.known().version(), pace(), log);
        control = config.control() == null
                ? null
                : new ControlClient(loop, clock, config.control(), config.names(), config.seed(), log);
        connect(protocol, half);
        if (discovery != null) {
            discovery.setListener(exchange);
        }
        if (control != null) {
            control.setListener(exchange);
            control.setSettingsHandler(this::takeSettings);
        }
        adminServer = new AdminServer(loop, Sockets.BUFFERS, new Controls(), log.in("admin")::bug);
        metrics.gauge("log_dropped", sink::dropped);
        metrics.gauge("log_suppressed", log::suppressed);
        metrics.gauge("loop_late_ms", () -> (int) Math.ceil(lag.recentMs()));
        int[] boundsMs = EventLoopLag.boundsMs();
        for (int i = 0; i < boundsMs.length; i++) {
            int bound = i;
            metrics.gauge("loop_late.over_" + boundsMs[i] + "ms", () -> lag.timesOver(bound));
        }
        metrics.gauge("targets", suspensions::listedCount);
        metrics.gauge("targets_disabled", () -> suspensions.listedSuspendedCount() + exchange.ejectedEndpoints());
        loop.scheduleWithFixedDelay(this::lookRound, LOOK_ROUND_MS, LOOK_ROUND_MS, TimeUnit.MILLISECONDS);
    }

    private WatchSchedule pace() {
        double drainGraceMs = config.settings().drain().graceMs();
        return config.discoveryWaitMs() == null
                ? WatchSchedule.ofFleet(config.settings().balancers(), drainGraceMs, config.seed())
                : new WatchSchedule(config.discoveryWaitMs().intValue(), drainGraceMs, config.seed());
    }

    private <M extends ProtocolRequest, A> void connect(Protocol<M, A> spoken, int half) {
        Upstream<M, A> upstream = spoken.upstream(shard, half);
        RequestDispatcher<M, A> between = new RequestDispatcher<>(
                shard,
                upstream,
                suspensions,
                decider,
                config.seed(),
                config.known(),
                control != null ? control::watch : discovery == null ? () -> {} : discovery::watch);
        endpoints = upstream;
        exchange = between;
        listeners = new Listeners(
                most -> {
                    Downstream front = spoken.front(shard, between, most);
                    if (lifecycle.phase() == Lifecycle.Phase.DRAINING) {
                        front.drain();
                    }
                    return front;
                },
                clients(half));
    }

    /** Takes the control nodes' settings document up, or goes back to the file's own; null, or why not. */
    private SettingsOutcome takeSettings(String text) {
        try {
            BalancerSettings next = text == null ? config.settings() : SettingsDocument.over(config.settings(), text);
            if (!exchange.settings(next)) {
                return new SettingsOutcome.Rejected("the decider of this edge takes no settings while it runs");
            }
            inForce = next;
            return new SettingsOutcome.Applied();
        } catch (IllegalArgumentException e) {
            return new SettingsOutcome.Rejected(e.getMessage());
        }
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
            log.bug("looking round failed", e);
        }
    }

    private void shareLimits(boolean shares) {
        if (shares != sharesLimits) {
            sharesLimits = shares;
            log.info(
                    shares ? "limits_shared" : "limits_own",
                    shares
                            ? "another process of this sidecar runs: the limits are shared"
                            : "the only process of this sidecar from now on");
            int half = half();
            endpoints.bound(half);
            listeners.bound(clients(half));
        }
    }

    /**
     * Reads the configuration again. What can change while the edge serves does: the address of discovery,
     * the fixed list of endpoints, listeners and levels of the log. All else is named in the log and holds
     * from the next start on. A file that cannot be used, or a listener that is taken, changes nothing.
     */
    public void reload() {
        loop.execute(this::reloadNow);
    }

    /** Tells the operators that {@link #reload} will never be called, and why. */
    public void reloadsAreOff(String why) {
        log.warn("reloads_off", "reloads are off: " + why);
    }

    private void reloadNow() {
        if (reloading) {
            reloadAgain = true;
            return;
        }
        reloading = true;
        try {
            LoadedConfiguration next = source.load();
            if (source instanceof PlatformFile) {
                // The platform changes where its discovery is, and nothing else.
                adopt(next);
                reloaded();
            } else if (lifecycle.phase() == Lifecycle.Phase.STOPPING) {
                reject("the process is stopping");
                reloaded();
            } else {
                listeners.change(next.config().listeners(), new ListenersChanged(next));
            }
        } catch (IOException | RuntimeException e) {
            reject(e.getMessage());
            reloaded();
        }
    }

    /** A reload that came while listeners were opening has waited for this. */
    private void reloaded() {
        reloading = false;
        if (reloadAgain) {
            reloadAgain = false;
            reloadNow();
        }
    }

    private void reject(String why) {
        log.warn("config_rejected", "the configuration stays as it was: " + why);
        metrics.reloaded(false);
    }

    private void adopt(LoadedConfiguration next) {
        EdgeConfig now = next.config();
        if (discovery != null && now.discovery() != null) {
            log.info("config_reloaded", "configuration read again: discovery is at " + now.discovery());
            discovery.moveTo(now.discovery());
        } else {
            log.info("config_reloaded", "configuration read again");
        }
        if (discovery == null && control == null) {
            exchange.onEndpointList(now.known());
        }
        now.logging().levels().forEach(sink::level);
        List<String> kept = unchangeable(next.values());
        if (!kept.isEmpty()) {
            log.warn("config_needs_restart", "these hold from the next start on: " + kept, "keys", kept);
        }
        metrics.reloaded(true);
    }

    /** Which values differ from those in force but cannot be taken up before the next start. */
    private List<String> unchangeable(List<LoadedConfiguration.Value> next) {
        if (source instanceof PlatformFile) {
            return List.of();
        }
        Map<String, String> before = new HashMap<>();
        values.forEach(value -> before.put(value.key(), value.text()));
        Map<String, String> after = new HashMap<>();
        next.forEach(value -> after.put(value.key(), value.text()));
        boolean listAppears = config.discovery() == null && after.containsKey("discovery.address");
        boolean listGoes = config.discovery() != null && !after.containsKey("discovery.address");
        return Stream.concat(next.stream(), values.stream())
                .filter(value ->
                        !value.live() || (value.key().equals("discovery.address") && (listAppears || listGoes)))
                .map(LoadedConfiguration.Value::key)
                .distinct()
                .filter(key -> !Objects.equals(before.get(key), after.get(key)))
                .sorted()
                .toList();
    }

    private final class ListenersChanged implements Listeners.Changed {
        private final LoadedConfiguration next;

        ListenersChanged(LoadedConfiguration next) {
            this.next = next;
        }

        @Override
        public void done() {
            try {
                adopt(next);
            } catch (RuntimeException e) {
                reject(e.getMessage());
            }
            reloaded();
        }

        @Override
        public void failed(InetSocketAddress at, Throwable why) {
            reject("cannot listen on " + at + ": " + why.getMessage());
            reloaded();
        }
    }

    /**
     * Answers all that is in hand and still comes in, then returns; the sidecar has nothing left to do. While
     * there is time clients go on using the connections that they have: where the others that could serve
     * them are still starting, they would find nobody. With a successor at the same address the listener goes
     * at once instead, and each answer is the last on its connection.
     */
    public void terminate() {
        CountDownLatch empty = new CountDownLatch(1);
        long mostDeadlineMs = inForce.classes().stream()
                .mapToLong(kind -> (long) kind.deadlineMs())
                .max()
                .orElse(0);
        long killedAfterMs = Math.min(mostDeadlineMs, MOST_WAIT_MS) + KILL_SLACK_MS;
        long endMs = killedAfterMs - DRAIN_SLACK_MS;
        long lastCallMs = Math.max(LINGER_MS, endMs - FINISH_MS);
        loop.execute(() -> {
            lifecycle.stop();
            listeners.each(front -> front.endAfter((double) endMs));
            boolean succeeded = presence.hasOther();
            log.info("stopping", "stopping" + (succeeded ? ", another process goes on" : ""), "succeeded", succeeded);
            if (succeeded) {
                listeners.each(Downstream::leave);
            }
        });
        loop.schedule(() -> listeners.each(Downstream::closeListener), LINGER_MS, TimeUnit.MILLISECONDS);
        loop.schedule(() -> listeners.each(Downstream::finish), lastCallMs, TimeUnit.MILLISECONDS);
        loop.schedule(() -> exchange.end(), endMs + LAST_ANSWER_MS, TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                () -> {
                    if (listeners.all(Downstream::isEmpty)) {
                        empty.countDown();
                    }
                },
                LINGER_MS,
                EMPTY_POLL_MS,
                TimeUnit.MILLISECONDS);
        try {
            // Every request has had its answer by then; who does not take it is not waited for.
            empty.await(endMs + DRAIN_SLACK_MS / 2, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        boolean done = empty.getCount() == 0;
        log.info(
                "stopped",
                done ? "all connections are done with" : "not all connections were empty in time",
                "empty",
                done);
        stop();
    }

    /** What its tables hold: open requests and known endpoints; to be asked on the event loop. */
    List<Integer> tableSizes() {
        return List.of(exchange.openRequests(), endpoints.size());
    }

    EventLoop loop() {
        return loop;
    }

    /** Where clients connect, at the first listener. */
    public InetSocketAddress address() {
        return addresses.get(0);
    }

    /** Where operators call. */
    InetSocketAddress adminAddress() {
        return adminServer.address();
    }

    /** Ends everything at once, as a kill does; what is in hand gets no answer. */
    public void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        try {
            presence.close();
        } catch (IOException e) {
            log.warn("presence_unknown", "cannot leave the list of processes: " + e.getMessage());
        }
    }

    /** What operators may have done, carried out by the parts that own the state. */
    private final class Controls implements AdminOperations {

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
            if (!suspensions.isKnown(endpoint)) {
                return Verdict.UNKNOWN_ENDPOINT;
            }
            try {
                Set<String> changed = change.make();
                if (!changed.isEmpty()) {
                    log.info(word, word + " by hand: " + endpoint, "by", "hand", "endpoint", endpoint);
                }
                exchange.retell(changed);
                return Verdict.DONE;
            } catch (IOException e) {
                log.warn(
                        "suspension_failed",
                        endpoint + " is not " + word + ": " + e.getMessage(),
                        "endpoint",
                        endpoint);
                return Verdict.FAILED;
            }
        }

        @Override
        public String levels() {
            StringBuilder text = new StringBuilder();
            sink.levels()
                    .forEach((logger, level) ->
                            text.append(logger).append('=').append(level).append('\n'));
            return text.toString();
        }

        @Override
        public boolean level(String logger, Severity severity) {
            Map<String, String> set = sink.levels();
            if (set.size() >= MOST_LEVELS && !set.containsKey(logger)) {
                return false;
            }
            sink.level(logger, severity);
            log.info(
                    "level_changed",
                    "level by hand: " + logger + " from " + severity + " on",
                    "of",
                    logger,
                    "to",
                    severity);
            return true;
        }

        @Override
        public void drain() {
            if (lifecycle.drain()) {
                log.info("drain_started", "drain by hand: connections are emptied until the sidecar is activated");
                listeners.each(Downstream::drain);
            }
        }

        @Override
        public void activate() {
            if (lifecycle.activate()) {
                log.info("drain_ended", "activated by hand: the drain is over");
                listeners.each(Downstream::activate);
            }
        }
    }

    /** A change of the suspensions; returns the ids that are seen otherwise from now on. */
    private interface Change {
        Set<String> make() throws IOException;
    }
}
