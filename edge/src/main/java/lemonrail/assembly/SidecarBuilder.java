package lemonrail.assembly;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.atomic.AtomicReference;
import lemonrail.admin.AdminServer;
import lemonrail.config.ConfigSource;
import lemonrail.config.EdgeConfig;
import lemonrail.config.LoadedConfiguration;
import lemonrail.core.WatchSchedule;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.policy.BoxcarLoadBalancer;
import lemonrail.discovery.ControlClient;
import lemonrail.discovery.DiscoveryClient;
import lemonrail.exchange.Downstream;
import lemonrail.exchange.EventLoopContext;
import lemonrail.exchange.Protocol;
import lemonrail.exchange.ProtocolRequest;
import lemonrail.exchange.RequestDispatcher;
import lemonrail.exchange.Upstream;
import lemonrail.lifecycle.Lifecycle;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSink;
import lemonrail.metrics.Metrics;
import lemonrail.net.Sockets;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;
import lemonrail.time.EventLoopLag;
import lemonrail.time.LagMeasuringIoHandler;
import lemonrail.upgrade.SiblingProcessLock;

/**
 * Builds a {@link Sidecar}: creates all parts on one event loop and connects them, in the order in which they
 * depend on each other.
 */
public final class SidecarBuilder {

    /** Bodies in transit may use this fraction of the memory, and no more than {@link #MAX_BODIES_MB}. */
    private static final int BODIES_MEMORY_DIVISOR = 16;

    private static final int MAX_BODIES_MB = 8;
    private static final int BYTES_PER_MB = 1024 * 1024;

    private final Protocol<?, ?> protocol;
    private final ConfigSource source;
    private final LoadedConfiguration loaded;
    private final EdgeConfig config;
    private final LogSink sink;
    private LoadBalancerFactory loadBalancerFactory = BoxcarLoadBalancer::new;

    /**
     * Creates a builder.
     *
     * @param source where the configuration is read again at each reload
     * @param loaded the configuration as it was loaded from {@code source}
     */
    public SidecarBuilder(Protocol<?, ?> protocol, ConfigSource source, LoadedConfiguration loaded, LogSink sink) {
        this.protocol = protocol;
        this.source = source;
        this.loaded = loaded;
        this.sink = sink;
        config = loaded.config();
    }

    /** Sets the load balancer, as experiments do; {@link BoxcarLoadBalancer} by default. */
    public SidecarBuilder loadBalancer(LoadBalancerFactory factory) {
        loadBalancerFactory = factory;
        return this;
    }

    /** Builds the sidecar; it listens once {@link Sidecar#start} is called. Blocks until all parts exist. */
    public Sidecar build() {
        EventLoopLag lag = new EventLoopLag();
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("sidecar"), new LagMeasuringIoHandler(NioIoHandler.newFactory(), lag));
        EventLoop loop = (EventLoop) group.next();
        return loop.submit(() -> assemble(protocol, group, loop, lag))
                .syncUninterruptibly()
                .getNow();
    }

    private <M extends ProtocolRequest, A> Sidecar assemble(
            Protocol<M, A> protocol, MultiThreadIoEventLoopGroup group, EventLoop loop, EventLoopLag lag) {
        Clock clock = new Clock(lag);
        EventLog log = new EventLog(clock, sink);
        SuspendedEndpoints suspensions = new SuspendedEndpoints(config.stateFile("suspended"), log);
        SiblingProcessLock siblingLock = new SiblingProcessLock(config.stateFile("processes"), log);
        DescriptorBudget descriptors =
                DescriptorBudget.of(config, protocol.overflowConnections(), siblingLock.hasSibling());
        AtomicReference<RequestDispatcher<M, A>> builtDispatcher = new AtomicReference<>();
        EventLoopContext context = context(loop, clock, log, new Lifecycle(() -> knowsEndpoints(builtDispatcher)));

        DiscoveryClient discovery = discoveryClient(context);
        ControlClient control = controlClient(context);
        Upstream<M, A> upstream = protocol.createUpstream(context, descriptors.maxUpstreamConnections());
        RequestDispatcher<M, A> dispatcher = new RequestDispatcher<>(
                context,
                upstream,
                suspensions,
                loadBalancerFactory,
                config.seed(),
                config.known(),
                endpointWatch(control, discovery));
        builtDispatcher.set(dispatcher);
        Listeners listeners = new Listeners(
                maxConnections -> downstream(protocol, context, dispatcher, maxConnections),
                descriptors.maxClientConnections());
        ActiveSettings settings = new ActiveSettings(config.settings(), dispatcher);
        listen(control, discovery, dispatcher, settings);

        ConfigurationReloader reloader = new ConfigurationReloader(
                context,
                source,
                loaded,
                new ConfigurationReloader.Targets(
                        dispatcher, listeners, discovery, discovery == null && control == null, sink));
        GracefulShutdown shutdown =
                new GracefulShutdown(loop, log, context.lifecycle(), listeners, dispatcher, siblingLock);
        AdminServer adminServer = new AdminServer(
                loop,
                Sockets.BUFFERS,
                new SidecarAdminOperations(context, sink, suspensions, dispatcher, listeners),
                log.forComponent("admin")::error);
        registerGauges(context, suspensions, dispatcher);
        new SiblingMonitor(log, siblingLock, suspensions, descriptors, dispatcher, upstream, listeners).start(loop);
        return new Sidecar(new SidecarParts(
                group,
                context,
                config,
                protocol,
                dispatcher,
                upstream,
                listeners,
                adminServer,
                settings,
                reloader,
                shutdown,
                siblingLock));
    }

    /** The life cycle exists before the dispatcher, which knows of no endpoint until it is built. */
    private static boolean knowsEndpoints(AtomicReference<? extends RequestDispatcher<?, ?>> builtDispatcher) {
        RequestDispatcher<?, ?> dispatcher = builtDispatcher.get();
        return dispatcher != null && dispatcher.hasEndpoints();
    }

    private EventLoopContext context(EventLoop loop, Clock clock, EventLog log, Lifecycle lifecycle) {
        double bodiesMb = Math.min(MAX_BODIES_MB, config.memoryMb() / BODIES_MEMORY_DIVISOR);
        return new EventLoopContext(
                loop,
                clock,
                log,
                new Metrics(config.classNames()),
                new BufferBudget((long) (bodiesMb * BYTES_PER_MB)),
                lifecycle,
                config.settings(),
                config.idleCloseMs());
    }

    /** Returns the client of the discovery service, or null where none is configured. */
    private DiscoveryClient discoveryClient(EventLoopContext context) {
        if (config.discovery() == null) {
            return null;
        }
        return new DiscoveryClient(
                context.loop(),
                config.discovery(),
                config.names(),
                config.known().version(),
                watchSchedule(),
                context.log());
    }

    private WatchSchedule watchSchedule() {
        double drainGraceMs = config.settings().drain().graceMs();
        return config.discoveryWaitMs() == null
                ? WatchSchedule.ofFleet(config.settings().balancers(), drainGraceMs, config.seed())
                : new WatchSchedule(config.discoveryWaitMs().intValue(), drainGraceMs, config.seed());
    }

    /** Returns the client of the control nodes, or null where none are configured. */
    private ControlClient controlClient(EventLoopContext context) {
        if (config.control() == null) {
            return null;
        }
        return new ControlClient(
                context.loop(), context.clock(), config.control(), config.names(), config.seed(), context.log());
    }

    /** Returns what the dispatcher calls to poll for endpoints. */
    private static Runnable endpointWatch(ControlClient control, DiscoveryClient discovery) {
        if (control != null) {
            return control::watch;
        }
        return discovery == null ? () -> {} : discovery::watch;
    }

    private static void listen(
            ControlClient control,
            DiscoveryClient discovery,
            RequestDispatcher<?, ?> dispatcher,
            ActiveSettings settings) {
        if (discovery != null) {
            discovery.setListener(dispatcher);
        }
        if (control != null) {
            control.setListener(dispatcher);
            control.setSettingsHandler(settings::apply);
        }
    }

    private static <M extends ProtocolRequest, A> Downstream downstream(
            Protocol<M, A> protocol, EventLoopContext context, RequestDispatcher<M, A> dispatcher, int maxConnections) {
        Downstream downstream = protocol.createDownstream(context, dispatcher, maxConnections);
        if (context.lifecycle().phase() == Lifecycle.Phase.DRAINING) {
            downstream.startDraining();
        }
        return downstream;
    }

    private void registerGauges(
            EventLoopContext context, SuspendedEndpoints suspensions, RequestDispatcher<?, ?> dispatcher) {
        Metrics metrics = context.metrics();
        EventLoopLag lag = context.clock().lag();
        metrics.gauge("log_dropped", sink::dropped);
        metrics.gauge("log_suppressed", context.log()::suppressed);
        metrics.gauge("loop_late_ms", () -> (int) Math.ceil(lag.recentMaxLagMs()));
        int[] boundsMs = EventLoopLag.histogramBoundsMs();
        for (int i = 0; i < boundsMs.length; i++) {
            int bound = i;
            metrics.gauge("loop_late.over_" + boundsMs[i] + "ms", () -> lag.countAbove(bound));
        }
        metrics.gauge("targets", suspensions::listedCount);
        metrics.gauge("targets_disabled", () -> suspensions.listedSuspendedCount() + dispatcher.ejectedEndpoints());
    }
}
