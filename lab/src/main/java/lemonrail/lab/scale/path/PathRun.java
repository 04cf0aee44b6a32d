package lemonrail.lab.scale.path;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemonrail.lab.host.ProcessUsage;
import lemonrail.lab.host.ProcessUsage.Kind;
import lemonrail.lab.load.BaselineServers;
import lemonrail.lab.load.Loads;
import lemonrail.lab.load.OpenLoop;
import lemonrail.lab.model.Arrivals;
import lemonrail.lab.scale.ServeCommand;
import lemonrail.lab.scale.path.PathRow.Experiment;
import lemonrail.lab.scale.path.PathRow.RouteType;
import org.HdrHistogram.Histogram;

/**
 * Measures the cost of what is between a caller and an endpoint: nothing, a plain relay or a sidecar. Callers and
 * endpoints run in this process, each on an event loop that never sleeps; relay and sidecars are processes of their
 * own. Measurements that are to be compared alternate, so that a drift of the machine affects all of them.
 */
public final class PathRun implements AutoCloseable {

    private static final int MIN_ENDPOINTS = 10;
    /** The number of client connections where it is not what is varied; not all of them are needed. */
    private static final int DEFAULT_CONNECTIONS = 256;
    /** The maximum rate of calls through a whole chain, because each call loads every step. */
    private static final int MAX_CHAIN_RATE = 1000;

    private static final int WARM_UP_STEP_MS = 1000;
    /** A process is warm once the JIT compilers use less than this fraction of a call's processor time. */
    private static final double MAX_COMPILER_FRACTION = 0.02;

    /**
     * A process is warm once, in addition to {@link #MAX_COMPILER_FRACTION}, the processor time per call changes by
     * less than this fraction from one second to the next.
     */
    private static final double MAX_COST_CHANGE = 0.1;
    /** The factor by which the warm-up is longer than it takes to open all client connections. */
    private static final double CONNECTION_OPENING_MARGIN = 1.3;

    private final PathPlan plan;
    private final ServeCommand command;
    private final Path scratch;
    private final Consumer<PathRow> rows;
    private final SpinningLoop callers = new SpinningLoop("callers");
    private final SpinningLoop endpointLoop = new SpinningLoop("stand-ins");
    private final Loads loads = new Loads(callers.group());
    private final List<AutoCloseable> openResources = new ArrayList<>();
    private int sidecarCount;
    private long seed;

    /** A route for calls; the process is null if there is none between caller and endpoint. */
    private record Route(RouteType routeType, InetSocketAddress address, ServedProcess process, int endpoints) {
        ProcessUsage usage() throws IOException {
            return process == null ? ProcessUsage.NONE : process.usage();
        }
    }

    /**
     * Creates a run.
     *
     * @param home the checkout, whose {@code deploy/balancer.toml} contains the command that starts a sidecar
     * @param main the sidecar's main class and arguments, to run it from this process's class path instead of its
     *     jar; empty to run the jar
     * @param scratch the directory for the sidecars' files
     * @param rows receives each measurement
     */
    public static PathRun of(PathPlan plan, Path home, List<String> main, Path scratch, PathReport rows)
            throws IOException {
        ServeCommand command = ServeCommand.of(home.toAbsolutePath().normalize());
        return new PathRun(
                plan,
                main.isEmpty() ? command : command.withMainClass(main.toArray(String[]::new)),
                scratch,
                rows::add);
    }

    private PathRun(PathPlan plan, ServeCommand command, Path scratch, Consumer<PathRow> rows) {
        this.plan = plan;
        this.command = command;
        this.scratch = scratch;
        this.rows = rows;
    }

    /** Makes all measurements; an interrupt ends the run early. */
    public void run() throws IOException, InterruptedException {
        int endpointCount = Math.max(MIN_ENDPOINTS, Collections.max(plan.endpoints()));
        List<InetSocketAddress> endpointAddresses = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            endpointAddresses.add(BaselineServers.endpoint(endpointLoop.group()));
        }
        ServedProcess sidecar = startSidecar(endpointAddresses.subList(0, MIN_ENDPOINTS));
        ServedProcess relay = ServedProcess.startRelay(command, endpointAddresses.get(0));
        openResources.add(relay);
        sidecar.awaitReady();
        Route sidecarRoute = new Route(RouteType.SIDECAR, sidecar.address(), sidecar, MIN_ENDPOINTS);
        warmUp(sidecarRoute);
        List<Route> routes = List.of(
                new Route(RouteType.DIRECT, endpointAddresses.get(0), null, 1),
                new Route(RouteType.RELAY, relay.address(), relay, 1),
                sidecarRoute);
        warmUp(routes.get(1));
        measureSideBySide(routes);
        measureRates(List.of(routes.get(1), sidecarRoute));
        measureBatches(List.of(routes.get(1), sidecarRoute));
        for (Route route : routes) {
            searchMaxRate(route);
        }
        for (int connections : plan.connections()) {
            for (int round = 1; round <= shortRounds(); round++) {
                add(measure(Experiment.CONNECTIONS, sidecarRoute, round, connections, PathPlan.TARGET_RATE, true));
            }
        }
        closeResources();
        measureEndpointCounts(endpointAddresses);
        closeResources();
        measureChain();
        closeResources();
    }

    /** Returns the number of rounds of all measurements but the side-by-side ones. */
    private int shortRounds() {
        return (plan.rounds() + 1) / 2;
    }

    private void closeResources() {
        for (AutoCloseable resource : openResources) {
            try {
                resource.close();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        openResources.clear();
    }

    private ServedProcess startSidecar(List<InetSocketAddress> endpoints) throws IOException {
        ServedProcess started = ServedProcess.startSidecar(
                command,
                endpointLoop,
                Files.createDirectories(scratch.resolve("sidecar-" + sidecarCount++)),
                endpoints);
        openResources.add(started);
        return started;
    }

    private void add(PathRow row) throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException("interrupted; the measurements so far are kept");
        }
        rows.accept(row);
    }

    /**
     * Makes calls until the JIT compilers have finished and the processor time per call has been stable from one
     * second to the next.
     */
    private void warmUp(Route route) throws IOException, InterruptedException {
        warmUp(route, plan.warmUpRate());
    }

    private void warmUp(Route route, double rate) throws IOException, InterruptedException {
        double previousCost = Double.NaN;
        for (int second = 1; second <= plan.maxWarmUpSeconds(); second++) {
            PathRow row = runLoad(
                    Experiment.WARM_UP,
                    route,
                    second,
                    DEFAULT_CONNECTIONS,
                    new OpenLoop.Plan(
                            rate,
                            WARM_UP_STEP_MS,
                            WARM_UP_STEP_MS / 10.0,
                            DEFAULT_CONNECTIONS,
                            ServedProcess.DEADLINE_MS,
                            Arrivals.Spacing.POISSON));
            add(row);
            double cost = row.cpuUs(Kind.LOOP);
            if (row.cpuUs(Kind.COMPILER) < MAX_COMPILER_FRACTION * cost
                    && Math.abs(cost - previousCost) < MAX_COST_CHANGE * cost) {
                return;
            }
            previousCost = cost;
        }
    }

    private PathRow measure(
            Experiment experiment, Route route, int round, int connections, int rate, boolean useAllConnections)
            throws IOException, InterruptedException {
        double warmUpMs = useAllConnections
                ? Math.max(plan.warmUpMs(), connections * 1000.0 / rate * CONNECTION_OPENING_MARGIN)
                : plan.warmUpMs();
        return runLoad(
                experiment,
                route,
                round,
                connections,
                new OpenLoop.Plan(
                        rate,
                        plan.lengthMs() - plan.warmUpMs() + warmUpMs,
                        warmUpMs,
                        connections,
                        ServedProcess.DEADLINE_MS,
                        Arrivals.Spacing.POISSON,
                        useAllConnections,
                        1));
    }

    /** Measures what a process uses between two points in time. */
    private static final class Meter implements Loads.Watcher {
        private final Route route;
        private ProcessUsage usage = ProcessUsage.NONE;
        private long wallNanos;
        private long calls;

        Meter(Route route) {
            this.route = route;
        }

        @Override
        public void measurementStarted() throws IOException {
            wallNanos = System.nanoTime();
            usage = route.usage();
        }

        @Override
        public void measurementEnding(long sentCalls) throws IOException {
            calls = sentCalls;
            usage = route.usage().since(usage);
            wallNanos = System.nanoTime() - wallNanos;
        }

        double wallMs() {
            return wallNanos / 1e6;
        }
    }

    private PathRow runLoad(Experiment experiment, Route route, int round, int connections, OpenLoop.Plan plannedLoad)
            throws IOException, InterruptedException {
        return runLoad(experiment, route, round, connections, plannedLoad, new Meter(route));
    }

    private PathRow runLoad(
            Experiment experiment, Route route, int round, int connections, OpenLoop.Plan plannedLoad, Meter meter)
            throws IOException, InterruptedException {
        if (plannedLoad.rate() == 0) {
            return measureIdle(experiment, route, round, plannedLoad, meter);
        }
        endpointLoop.resetPauses();
        OpenLoop.Result result = loads.play(
                route.address(),
                plannedLoad,
                ++seed,
                Loads.requests(
                        HttpMethod.GET,
                        "lab",
                        "/api",
                        Map.of(
                                "X-Class",
                                ServedProcess.CLASS,
                                "X-Deadline-Ms",
                                String.valueOf(ServedProcess.DEADLINE_MS)),
                        false,
                        System.nanoTime()),
                meter);
        return new PathRow(
                experiment,
                route.routeType(),
                round,
                0,
                route.endpoints(),
                connections,
                plannedLoad.batch(),
                (int) plannedLoad.rate(),
                result.sent(),
                result.served(),
                result.servedMicros(),
                meter.calls,
                meter.wallMs(),
                meter.usage,
                result.late99Ms(),
                endpointLoop.pauseP99Ms(),
                result.waited(),
                readLoadAverage());
    }

    private PathRow measureIdle(Experiment experiment, Route route, int round, OpenLoop.Plan plannedLoad, Meter meter)
            throws IOException, InterruptedException {
        meter.measurementStarted();
        TimeUnit.MILLISECONDS.sleep((long) plannedLoad.lengthMs());
        meter.measurementEnding(0);
        return new PathRow(
                experiment,
                route.routeType(),
                round,
                0,
                route.endpoints(),
                0,
                1,
                0,
                0,
                0,
                new Histogram(1),
                0,
                meter.wallMs(),
                meter.usage,
                0,
                0,
                0,
                readLoadAverage());
    }

    /** Returns the machine's load average over the last minute. */
    private static double readLoadAverage() throws IOException {
        return Double.parseDouble(Files.readString(Path.of("/proc/loadavg")).split(" ")[0]);
    }

    /** A round with a void measurement is repeated, up to as many times as there are rounds in the plan. */
    private void measureSideBySide(List<Route> routes) throws IOException, InterruptedException {
        for (int rate : plan.rates()) {
            int validRounds = 0;
            for (int round = 1; round <= 2 * plan.rounds() && validRounds < plan.rounds(); round++) {
                boolean isVoid = false;
                for (Route route : routes) {
                    PathRow row = measure(Experiment.SIDE_BY_SIDE, route, round, DEFAULT_CONNECTIONS, rate, false);
                    add(row);
                    isVoid |= row.isVoid();
                }
                validRounds += isVoid ? 0 : 1;
            }
        }
    }

    private void measureRates(List<Route> routes) throws IOException, InterruptedException {
        for (int round = 1; round <= shortRounds(); round++) {
            for (int rate : plan.curve()) {
                for (Route route : routes) {
                    add(
                            rate == 0
                                    ? runLoad(
                                            Experiment.RATE,
                                            route,
                                            round,
                                            0,
                                            new OpenLoop.Plan(0, plan.lengthMs(), 0, 0, 0, Arrivals.Spacing.POISSON))
                                    : measure(Experiment.RATE, route, round, DEFAULT_CONNECTIONS, rate, false));
                }
            }
        }
    }

    private void measureBatches(List<Route> routes) throws IOException, InterruptedException {
        for (int round = 1; round <= shortRounds(); round++) {
            for (int batch : plan.batches()) {
                for (Route route : routes) {
                    add(runLoad(
                            Experiment.BATCH,
                            route,
                            round,
                            DEFAULT_CONNECTIONS,
                            new OpenLoop.Plan(
                                    PathPlan.TARGET_RATE,
                                    plan.lengthMs(),
                                    plan.warmUpMs(),
                                    DEFAULT_CONNECTIONS,
                                    ServedProcess.DEADLINE_MS,
                                    Arrivals.Spacing.POISSON,
                                    false,
                                    batch)));
                }
            }
        }
    }

    /** Raises the rate until it is not sustained. */
    private void searchMaxRate(Route route) throws IOException, InterruptedException {
        for (int rate : plan.ramp()) {
            PathRow row = measure(Experiment.RAMP, route, 1, DEFAULT_CONNECTIONS, rate, false);
            add(row);
            if (!row.isSustained()) {
                return;
            }
        }
    }

    private void measureEndpointCounts(List<InetSocketAddress> endpointAddresses)
            throws IOException, InterruptedException {
        List<Route> routes = new ArrayList<>();
        for (int count : plan.endpoints()) {
            ServedProcess process = startSidecar(endpointAddresses.subList(0, count));
            routes.add(new Route(RouteType.SIDECAR, process.address(), process, count));
        }
        for (Route route : routes) {
            route.process().awaitReady();
            warmUp(route);
        }
        for (int round = 1; round <= shortRounds(); round++) {
            for (Route route : routes) {
                add(measure(Experiment.ENDPOINTS, route, round, DEFAULT_CONNECTIONS, PathPlan.TARGET_RATE, false));
            }
        }
    }

    private void measureChain() throws IOException, InterruptedException {
        List<Hop> directHops = new ArrayList<>(List.of(Hop.createLast(endpointLoop)));
        List<Hop> hops = new ArrayList<>(List.of(Hop.createLast(endpointLoop)));
        List<Route> stepRoutes = new ArrayList<>();
        for (int i = 0; i < plan.depth(); i++) {
            directHops.add(0, directHops.get(0).createCaller(directHops.get(0).address()));
            ServedProcess process = startSidecar(List.of(hops.get(0).address()));
            stepRoutes.add(0, new Route(RouteType.SIDECAR, process.address(), process, 1));
            hops.add(0, hops.get(0).createCaller(process.address()));
        }
        openResources.addAll(directHops);
        openResources.addAll(hops);
        for (Route step : stepRoutes) {
            step.process().awaitReady();
        }
        // The sidecar of the last step is warmed up with all others, because calls go through the whole chain.
        warmUp(
                new Route(
                        RouteType.SIDECAR,
                        hops.get(0).address(),
                        stepRoutes.get(plan.depth() - 1).process(),
                        1),
                Math.min(plan.warmUpRate(), MAX_CHAIN_RATE));
        for (int round = 1; round <= shortRounds(); round++) {
            measureChainRound(round, RouteType.DIRECT, directHops, List.of());
            measureChainRound(round, RouteType.SIDECAR, hops, stepRoutes);
        }
    }

    /** Measures what the process of each step uses, and the latency that its route adds to calls. */
    private static final class ChainMeter implements Loads.Watcher {
        private final List<Meter> meters = new ArrayList<>();
        private final List<Hop> hops;

        ChainMeter(List<Hop> hops, List<Route> stepRoutes) {
            this.hops = hops;
            stepRoutes.forEach(step -> meters.add(new Meter(step)));
        }

        @Override
        public void measurementStarted() throws IOException {
            hops.forEach(Hop::resetCounts);
            for (Meter meter : meters) {
                meter.measurementStarted();
            }
        }

        @Override
        public void measurementEnding(long sentCalls) throws IOException {
            for (Meter meter : meters) {
                meter.measurementEnding(sentCalls);
            }
        }
    }

    private void measureChainRound(int round, RouteType routeType, List<Hop> hops, List<Route> stepRoutes)
            throws IOException, InterruptedException {
        ChainMeter chainMeter = new ChainMeter(hops, stepRoutes);
        endpointLoop.resetPauses();
        int rate = plan.rates().get(0);
        OpenLoop.Result result = loads.play(
                hops.get(0).address(),
                new OpenLoop.Plan(
                        rate,
                        plan.lengthMs(),
                        plan.warmUpMs(),
                        DEFAULT_CONNECTIONS,
                        ServedProcess.DEADLINE_MS,
                        Arrivals.Spacing.POISSON),
                ++seed,
                Loads.requests(HttpMethod.GET, "lab", "/api", Map.of(), false, System.nanoTime()),
                chainMeter);
        double pauseP99Ms = endpointLoop.pauseP99Ms();
        double loadAverage = readLoadAverage();
        ProcessUsage totalUsage = chainMeter.meters.stream()
                .map(meter -> meter.usage)
                .reduce(ProcessUsage::plus)
                .orElse(ProcessUsage.NONE);
        double wallMs =
                chainMeter.meters.isEmpty() ? 0 : chainMeter.meters.get(0).wallMs();
        long calls = chainMeter.meters.isEmpty() ? 0 : chainMeter.meters.get(0).calls;
        add(new PathRow(
                Experiment.CHAIN,
                routeType,
                round,
                0,
                1,
                DEFAULT_CONNECTIONS,
                1,
                rate,
                result.sent(),
                result.served(),
                result.servedMicros(),
                calls,
                wallMs,
                totalUsage,
                result.late99Ms(),
                pauseP99Ms,
                result.waited(),
                loadAverage));
        for (int i = 0; i < plan.depth(); i++) {
            Histogram addedLatencyMicros = hops.get(i).addedLatency();
            ProcessUsage usage = stepRoutes.isEmpty() ? ProcessUsage.NONE : chainMeter.meters.get(i).usage;
            add(new PathRow(
                    Experiment.CHAIN,
                    routeType,
                    round,
                    i + 1,
                    1,
                    DEFAULT_CONNECTIONS,
                    1,
                    rate,
                    addedLatencyMicros.getTotalCount(),
                    addedLatencyMicros.getTotalCount(),
                    addedLatencyMicros,
                    calls,
                    wallMs,
                    usage,
                    result.late99Ms(),
                    pauseP99Ms,
                    0,
                    loadAverage));
        }
    }

    @Override
    public void close() {
        closeResources();
        loads.close();
        endpointLoop.close();
    }
}
