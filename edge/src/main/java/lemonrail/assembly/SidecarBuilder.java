package lemonrail.assembly;

import io.netty.channel.EventLoop;
import io.netty.util.internal.PlatformDependent;
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
import lemonrail.upgrade.ExecutedRequestIds;
import lemonrail.upgrade.SiblingProcessLock;

/**
 * Builds a {@link Sidecar}: creates all components on one event loop and connects them, dependencies first.
 */
public final class SidecarBuilder {

    private static final int BYTES_PER_KB = 1024;

    private final Protocol<?, ?> protocol;
    private final ConfigSource source;
    private final LoadedConfiguration loaded;
    private final EdgeConfig config;
    private final LogSink sink;
    private LoadBalancerFactory loadBalancerFactory = BoxcarLoadBalancer::new;

    /**
     * Creates a builder.
     *
     * @param source where each reload reads the configuration
     * @param loaded the configuration that was loaded from {@code source} at the start
     */
    public SidecarBuilder(Protocol<?, ?> protocol, ConfigSource source, LoadedConfiguration loaded, LogSink sink) {
        this.protocol = protocol;
        this.source = source;
        this.loaded = loaded;
        this.sink = sink;
        config = loaded.config();
    }

    /** Sets the factory of the load balancer, for experiments; {@link BoxcarLoadBalancer} by default. */
    public SidecarBuilder loadBalancer(LoadBalancerFactory factory) {
        loadBalancerFactory = factory;
        return this;
    }

    /** Returns a sidecar that listens once {@link Sidecar#start} is called; blocks until all components exist. */
    public Sidecar build() {
        SidecarEventLoop eventLoop = new SidecarEventLoop();
        return eventLoop
                .loop()
                .submit(() -> assemble(protocol, eventLoop))
                .syncUninterruptibly()
                .getNow();
    }

    private <M extends ProtocolRequest, A> Sidecar assemble(Protocol<M, A> protocol, SidecarEventLoop eventLoop) {
        EventLoop loop = eventLoop.loop();
        Clock clock = new Clock(eventLoop.lag());
        EventLog log = createLog(eventLoop, clock);
        SuspendedEndpoints suspensions = new SuspendedEndpoints(config.stateFile("suspended"), log);
        SiblingProcessLock siblingLock = new SiblingProcessLock(config.stateFile("processes"), log);
        MemoryPlan memory = MemoryPlan.of(config);
        BufferBudget budget = createBufferBudget(memory, siblingLock);
        DescriptorBudget descriptors = DescriptorBudget.of(
                config, protocol.overflowConnections(), memory.maxClientConnections(), siblingLock.hasSibling());
        AtomicReference<RequestDispatcher<M, A>> builtDispatcher = new AtomicReference<>();
        EventLoopContext context =
                createContext(loop, clock, log, budget, new Lifecycle(() -> knowsEndpoints(builtDispatcher)));

        DiscoveryClient discovery = createDiscoveryClient(context);
        ControlClient control = createControlClient(context);
        Upstream<M, A> upstream = protocol.createUpstream(context, descriptors.maxUpstreamConnections());
        RequestDispatcher<M, A> dispatcher = new RequestDispatcher<>(
                context,
                upstream,
                suspensions,
                loadBalancerFactory,
                config.seed(),
                config.initialEndpoints(),
                endpointWatch(control, discovery));
        builtDispatcher.set(dispatcher);
        dispatcher.shareExecutedIds(ExecutedRequestIds.open(config.stateFile("executed"), log, System::nanoTime));
        Listeners listeners = new Listeners(
                maxConnections -> createDownstream(protocol, context, dispatcher, maxConnections),
                descriptors.maxClientConnections());
        ActiveSettings settings = new ActiveSettings(config.settings(), dispatcher);
        connectListeners(control, discovery, dispatcher, settings);

        ConfigurationReloader reloader = new ConfigurationReloader(
                context,
                source,
                loaded,
                new ConfigurationReloader.Targets(
                        dispatcher, listeners, discovery, discovery == null && control == null, sink));
        GracefulShutdown shutdown =
                new GracefulShutdown(loop, clock, log, context.lifecycle(), listeners, dispatcher, siblingLock);
        AdminServer adminServer = createAdminServer(
                context, new SidecarAdminOperations(context, sink, suspensions, dispatcher, listeners));
        registerGauges(context, suspensions, dispatcher);
        new SiblingMonitor(log, siblingLock, suspensions, descriptors, budget, dispatcher, upstream, listeners)
                .start(loop);
        return new Sidecar(new SidecarParts(
                eventLoop,
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

    /** Returns false until the dispatcher exists, because the life cycle is created before it. */
    private static boolean knowsEndpoints(AtomicReference<? extends RequestDispatcher<?, ?>> builtDispatcher) {
        RequestDispatcher<?, ?> dispatcher = builtDispatcher.get();
        return dispatcher != null && dispatcher.hasEndpoints();
    }

    private EventLog createLog(SidecarEventLoop eventLoop, Clock clock) {
        EventLog log = new EventLog(clock, sink);
        eventLoop.setOutOfMemoryListener(() -> log.error("the heap has ended", new OutOfMemoryError()));
        return log;
    }

    private static BufferBudget createBufferBudget(MemoryPlan memory, SiblingProcessLock siblingLock) {
        BufferBudget budget = new BufferBudget(memory.budgetBytes());
        budget.setShared(siblingLock.hasSibling());
        return budget;
    }

    private static AdminServer createAdminServer(EventLoopContext context, SidecarAdminOperations operations) {
        return new AdminServer(
                context.loop(),
                Sockets.BUFFER_ALLOCATOR,
                operations,
                context.log().forComponent("admin")::error);
    }

    private EventLoopContext createContext(
            EventLoop loop, Clock clock, EventLog log, BufferBudget budget, Lifecycle lifecycle) {
        return new EventLoopContext(
                loop,
                clock,
                log,
                new Metrics(config.classNames()),
                budget,
                lifecycle,
                config.settings(),
                config.idleCloseMs());
    }

    /** Returns the client of the discovery service, or null if none is configured. */
    private DiscoveryClient createDiscoveryClient(EventLoopContext context) {
        if (config.discovery() == null) {
            return null;
        }
        return new DiscoveryClient(
                context.loop(),
                config.discovery(),
                config.names(),
                config.initialEndpoints().version(),
                createWatchSchedule(),
                context.log());
    }

    private WatchSchedule createWatchSchedule() {
        double drainGraceMs = config.settings().drain().graceMs();
        return config.discoveryWaitMs() == null
                ? WatchSchedule.ofFleet(config.settings().balancers(), drainGraceMs, config.seed())
                : new WatchSchedule(config.discoveryWaitMs().intValue(), drainGraceMs, config.seed());
    }

    /** Returns the client of the control nodes, or null if none are configured. */
    private ControlClient createControlClient(EventLoopContext context) {
        if (config.control() == null) {
            return null;
        }
        return new ControlClient(
                context.loop(), context.clock(), config.control(), config.names(), config.seed(), context.log());
    }

    /** Returns the action by which the dispatcher starts watching for endpoints. */
    private static Runnable endpointWatch(ControlClient control, DiscoveryClient discovery) {
        if (control != null) {
            return control::watch;
        }
        return discovery == null ? () -> {} : discovery::watch;
    }

    private static void connectListeners(
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

    private static <M extends ProtocolRequest, A> Downstream createDownstream(
            Protocol<M, A> protocol, EventLoopContext context, RequestDispatcher<M, A> dispatcher, int maxConnections) {
        Downstream downstream = protocol.createDownstream(context, dispatcher, maxConnections);
        if (context.lifecycle().phase() == Lifecycle.Phase.DRAINING) {
            downstream.startDraining();
        }
        return downstream;
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private void registerGauges(
            EventLoopContext context, SuspendedEndpoints suspensions, RequestDispatcher<?, ?> dispatcher) {
        Metrics metrics = context.metrics();
        EventLoopLag lag = context.clock().lag();
        metrics.registerGauge("log_dropped", sink::dropped);
        metrics.registerGauge("log_suppressed", context.log()::suppressed);
        BufferBudget budget = context.bufferBudget();
        metrics.registerGauge("memory.held_kb", () -> (int) (budget.heldBytes() / BYTES_PER_KB));
        metrics.registerGauge("memory.budget_kb", () -> (int) (budget.maxBytes() / BYTES_PER_KB));
        metrics.registerGauge("memory.heap_kb", () -> (int) (usedHeapBytes() / BYTES_PER_KB));
        metrics.registerGauge("memory.direct_kb", () -> (int) (PlatformDependent.usedDirectMemory() / BYTES_PER_KB));
        metrics.registerGauge("loop_late_ms", () -> (int) Math.ceil(lag.recentMaxLagMs()));
        int[] boundsMs = EventLoopLag.histogramBoundsMs();
        for (int i = 0; i < boundsMs.length; i++) {
            int bound = i;
            metrics.registerGauge("loop_late.over_" + boundsMs[i] + "ms", () -> lag.countAbove(bound));
        }
        metrics.registerGauge("targets", suspensions::listedCount);
        metrics.registerGauge(
                "targets_disabled", () -> suspensions.listedSuspendedCount() + dispatcher.ejectedEndpoints());
    }
}
