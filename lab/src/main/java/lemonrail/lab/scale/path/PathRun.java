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
import lemonrail.lab.scale.path.PathRow.Part;
import lemonrail.lab.scale.path.PathRow.Way;
import org.HdrHistogram.Histogram;

/**
 * Measures what stands between a caller and an endpoint: nothing, a bare relay, a sidecar. Caller and
 * endpoints share this process, each on a loop that never sleeps; relay and sidecars are processes of their
 * own. Measurements to be compared take turns, so that a drift of the machine meets all of them.
 */
public final class PathRun implements AutoCloseable {

    private static final int LEAST_ENDPOINTS = 10;
    /** Client connections where their number is not what is varied; not all are needed. */
    private static final int USUAL_CONNECTIONS = 256;
    /** Calls a second through a whole chain, each of which is one at every step. */
    private static final int MOST_CHAIN_RATE = 1000;

    private static final int WARM_MS = 1000;
    /** Warm: the compilers take less than this part, and a call costs what it did within this part. */
    private static final double COMPILER_SHARE = 0.02;

    private static final double SETTLED = 0.1;
    /** All client connections are opened within the warm-up, with some time to spare. */
    private static final double OPENING = 1.3;

    private final PathPlan plan;
    private final ServeCommand command;
    private final Path scratch;
    private final Consumer<PathRow> rows;
    private final SpinningLoop callers = new SpinningLoop("callers");
    private final SpinningLoop standIns = new SpinningLoop("stand-ins");
    private final Loads loads = new Loads(callers.group());
    private final List<AutoCloseable> open = new ArrayList<>();
    private int processes;
    private long seed;

    /** A way that calls may go; the process on it is null where nobody stands between. */
    private record Route(Way way, InetSocketAddress address, ServedProcess process, int endpoints) {
        ProcessUsage usage() throws IOException {
            return process == null ? ProcessUsage.NONE : process.usage();
        }
    }

    /**
     * A run.
     *
     * @param home the checkout, whose {@code deploy/balancer.toml} says how a sidecar is started
     * @param main the sidecar's main class and call, to run it from this process's class path in place of
     *     its jar; empty for the jar
     * @param scratch where files of the sidecars go
     * @param rows hears of each measurement
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

    /** Measures all; an interrupt ends it early. */
    public void run() throws IOException, InterruptedException {
        int most = Math.max(LEAST_ENDPOINTS, Collections.max(plan.endpoints()));
        List<InetSocketAddress> plain = new ArrayList<>();
        for (int i = 0; i < most; i++) {
            plain.add(BaselineServers.endpoint(standIns.group()));
        }
        ServedProcess sidecar = sidecar(plain.subList(0, LEAST_ENDPOINTS));
        ServedProcess relay = ServedProcess.relay(command, plain.get(0));
        open.add(relay);
        sidecar.awaitReady();
        Route way = new Route(Way.SIDECAR, sidecar.address(), sidecar, LEAST_ENDPOINTS);
        warm(way);
        List<Route> routes = List.of(
                new Route(Way.DIRECT, plain.get(0), null, 1), new Route(Way.RELAY, relay.address(), relay, 1), way);
        warm(routes.get(1));
        sideBySide(routes);
        curve(List.of(routes.get(1), way));
        batches(List.of(routes.get(1), way));
        for (Route route : routes) {
            ramp(route);
        }
        for (int connections : plan.connections()) {
            for (int round = 1; round <= turns(); round++) {
                add(measure(Part.CONNECTIONS, way, round, connections, PathPlan.TARGET_RATE, true));
            }
        }
        endPrevious();
        endpoints(plain);
        endPrevious();
        chain();
        endPrevious();
    }

    /** Rounds of what is not side by side. */
    private int turns() {
        return (plan.rounds() + 1) / 2;
    }

    private void endPrevious() {
        for (AutoCloseable each : open) {
            try {
                each.close();
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        }
        open.clear();
    }

    private ServedProcess sidecar(List<InetSocketAddress> endpoints) throws IOException {
        ServedProcess started = ServedProcess.sidecar(
                command, standIns, Files.createDirectories(scratch.resolve("sidecar-" + processes++)), endpoints);
        open.add(started);
        return started;
    }

    private void add(PathRow row) throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException("interrupted; what was measured so far is kept");
        }
        rows.accept(row);
    }

    /** Calls until the compilers have nothing left to do and a call costs what it did a second before. */
    private void warm(Route route) throws IOException, InterruptedException {
        warm(route, plan.warmRate());
    }

    private void warm(Route route, double rate) throws IOException, InterruptedException {
        double before = Double.NaN;
        for (int chunk = 1; chunk <= plan.warmChunks(); chunk++) {
            PathRow row = play(
                    Part.WARM_UP,
                    route,
                    chunk,
                    USUAL_CONNECTIONS,
                    new OpenLoop.Plan(
                            rate,
                            WARM_MS,
                            WARM_MS / 10.0,
                            USUAL_CONNECTIONS,
                            ServedProcess.DEADLINE_MS,
                            Arrivals.Spacing.POISSON));
            add(row);
            double cost = row.cpuUs(Kind.LOOP);
            if (row.cpuUs(Kind.COMPILER) < COMPILER_SHARE * cost && Math.abs(cost - before) < SETTLED * cost) {
                return;
            }
            before = cost;
        }
    }

    private PathRow measure(Part part, Route route, int round, int connections, int rate, boolean spread)
            throws IOException, InterruptedException {
        double warmUpMs = spread ? Math.max(plan.warmUpMs(), connections * 1000.0 / rate * OPENING) : plan.warmUpMs();
        return play(
                part,
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
                        spread,
                        1));
    }

    /** Reads what a process uses between two moments. */
    private static final class Meter implements Loads.Watcher {
        private final Route route;
        private ProcessUsage usage = ProcessUsage.NONE;
        private long nanos;
        private long calls;

        Meter(Route route) {
            this.route = route;
        }

        @Override
        public void measurementStarted() throws IOException {
            nanos = System.nanoTime();
            usage = route.usage();
        }

        @Override
        public void measurementEnding(long sent) throws IOException {
            calls = sent;
            usage = route.usage().since(usage);
            nanos = System.nanoTime() - nanos;
        }

        double wallMs() {
            return nanos / 1e6;
        }
    }

    private PathRow play(Part part, Route route, int round, int connections, OpenLoop.Plan load)
            throws IOException, InterruptedException {
        return play(part, route, round, connections, load, new Meter(route));
    }

    private PathRow play(Part part, Route route, int round, int connections, OpenLoop.Plan load, Meter meter)
            throws IOException, InterruptedException {
        if (load.rate() == 0) {
            return idle(part, route, round, load, meter);
        }
        standIns.begin();
        OpenLoop.Result result = loads.play(
                route.address(),
                load,
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
                part,
                route.way(),
                round,
                0,
                route.endpoints(),
                connections,
                load.batch(),
                (int) load.rate(),
                result.sent(),
                result.served(),
                result.servedMicros(),
                meter.calls,
                meter.wallMs(),
                meter.usage,
                result.late99Ms(),
                standIns.away99Ms(),
                result.waited(),
                load());
    }

    private PathRow idle(Part part, Route route, int round, OpenLoop.Plan load, Meter meter)
            throws IOException, InterruptedException {
        meter.measurementStarted();
        TimeUnit.MILLISECONDS.sleep((long) load.lengthMs());
        meter.measurementEnding(0);
        return new PathRow(
                part,
                route.way(),
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
                load());
    }

    /** The machine's load over the last minute. */
    private static double load() throws IOException {
        return Double.parseDouble(Files.readString(Path.of("/proc/loadavg")).split(" ")[0]);
    }

    /** Rounds in which one was void are played again, as often as they were to be played in all. */
    private void sideBySide(List<Route> routes) throws IOException, InterruptedException {
        for (int rate : plan.rates()) {
            int good = 0;
            for (int round = 1; round <= 2 * plan.rounds() && good < plan.rounds(); round++) {
                boolean isVoid = false;
                for (Route route : routes) {
                    PathRow row = measure(Part.SIDE_BY_SIDE, route, round, USUAL_CONNECTIONS, rate, false);
                    add(row);
                    isVoid |= row.isVoid();
                }
                good += isVoid ? 0 : 1;
            }
        }
    }

    private void curve(List<Route> routes) throws IOException, InterruptedException {
        for (int round = 1; round <= turns(); round++) {
            for (int rate : plan.curve()) {
                for (Route route : routes) {
                    add(
                            rate == 0
                                    ? play(
                                            Part.RATE,
                                            route,
                                            round,
                                            0,
                                            new OpenLoop.Plan(0, plan.lengthMs(), 0, 0, 0, Arrivals.Spacing.POISSON))
                                    : measure(Part.RATE, route, round, USUAL_CONNECTIONS, rate, false));
                }
            }
        }
    }

    private void batches(List<Route> routes) throws IOException, InterruptedException {
        for (int round = 1; round <= turns(); round++) {
            for (int batch : plan.batches()) {
                for (Route route : routes) {
                    add(play(
                            Part.BATCH,
                            route,
                            round,
                            USUAL_CONNECTIONS,
                            new OpenLoop.Plan(
                                    PathPlan.TARGET_RATE,
                                    plan.lengthMs(),
                                    plan.warmUpMs(),
                                    USUAL_CONNECTIONS,
                                    ServedProcess.DEADLINE_MS,
                                    Arrivals.Spacing.POISSON,
                                    false,
                                    batch)));
                }
            }
        }
    }

    /** Raises the rate until it is not kept. */
    private void ramp(Route route) throws IOException, InterruptedException {
        for (int rate : plan.ramp()) {
            PathRow row = measure(Part.RAMP, route, 1, USUAL_CONNECTIONS, rate, false);
            add(row);
            if (!row.isKept()) {
                return;
            }
        }
    }

    private void endpoints(List<InetSocketAddress> plain) throws IOException, InterruptedException {
        List<Route> routes = new ArrayList<>();
        for (int count : plan.endpoints()) {
            ServedProcess process = sidecar(plain.subList(0, count));
            routes.add(new Route(Way.SIDECAR, process.address(), process, count));
        }
        for (Route route : routes) {
            route.process().awaitReady();
            warm(route);
        }
        for (int round = 1; round <= turns(); round++) {
            for (Route route : routes) {
                add(measure(Part.ENDPOINTS, route, round, USUAL_CONNECTIONS, PathPlan.TARGET_RATE, false));
            }
        }
    }

    private void chain() throws IOException, InterruptedException {
        List<Hop> direct = new ArrayList<>(List.of(Hop.last(standIns)));
        List<Hop> hops = new ArrayList<>(List.of(Hop.last(standIns)));
        List<Route> steps = new ArrayList<>();
        for (int i = 0; i < plan.depth(); i++) {
            direct.add(0, direct.get(0).before(direct.get(0).address()));
            ServedProcess process = sidecar(List.of(hops.get(0).address()));
            steps.add(0, new Route(Way.SIDECAR, process.address(), process, 1));
            hops.add(0, hops.get(0).before(process.address()));
        }
        open.addAll(direct);
        open.addAll(hops);
        for (Route step : steps) {
            step.process().awaitReady();
        }
        // The last step's sidecar is warmed with all others: calls go through the chain.
        warm(
                new Route(
                        Way.SIDECAR,
                        hops.get(0).address(),
                        steps.get(plan.depth() - 1).process(),
                        1),
                Math.min(plan.warmRate(), MOST_CHAIN_RATE));
        for (int round = 1; round <= turns(); round++) {
            chained(round, Way.DIRECT, direct, List.of());
            chained(round, Way.SIDECAR, hops, steps);
        }
    }

    /** What each step's process uses, and what its way adds to calls. */
    private static final class ChainMeter implements Loads.Watcher {
        private final List<Meter> meters = new ArrayList<>();
        private final List<Hop> hops;

        ChainMeter(List<Hop> hops, List<Route> steps) {
            this.hops = hops;
            steps.forEach(step -> meters.add(new Meter(step)));
        }

        @Override
        public void measurementStarted() throws IOException {
            hops.forEach(Hop::begin);
            for (Meter meter : meters) {
                meter.measurementStarted();
            }
        }

        @Override
        public void measurementEnding(long sent) throws IOException {
            for (Meter meter : meters) {
                meter.measurementEnding(sent);
            }
        }
    }

    private void chained(int round, Way way, List<Hop> hops, List<Route> steps)
            throws IOException, InterruptedException {
        ChainMeter meters = new ChainMeter(hops, steps);
        standIns.begin();
        int rate = plan.rates().get(0);
        OpenLoop.Result result = loads.play(
                hops.get(0).address(),
                new OpenLoop.Plan(
                        rate,
                        plan.lengthMs(),
                        plan.warmUpMs(),
                        USUAL_CONNECTIONS,
                        ServedProcess.DEADLINE_MS,
                        Arrivals.Spacing.POISSON),
                ++seed,
                Loads.requests(HttpMethod.GET, "lab", "/api", Map.of(), false, System.nanoTime()),
                meters);
        double away99Ms = standIns.away99Ms();
        double load = load();
        ProcessUsage all = meters.meters.stream()
                .map(meter -> meter.usage)
                .reduce(ProcessUsage::plus)
                .orElse(ProcessUsage.NONE);
        double wallMs = meters.meters.isEmpty() ? 0 : meters.meters.get(0).wallMs();
        long calls = meters.meters.isEmpty() ? 0 : meters.meters.get(0).calls;
        add(new PathRow(
                Part.CHAIN,
                way,
                round,
                0,
                1,
                USUAL_CONNECTIONS,
                1,
                rate,
                result.sent(),
                result.served(),
                result.servedMicros(),
                calls,
                wallMs,
                all,
                result.late99Ms(),
                away99Ms,
                result.waited(),
                load));
        for (int i = 0; i < plan.depth(); i++) {
            Histogram added = hops.get(i).added();
            ProcessUsage usage = steps.isEmpty() ? ProcessUsage.NONE : meters.meters.get(i).usage;
            add(new PathRow(
                    Part.CHAIN,
                    way,
                    round,
                    i + 1,
                    1,
                    USUAL_CONNECTIONS,
                    1,
                    rate,
                    added.getTotalCount(),
                    added.getTotalCount(),
                    added,
                    calls,
                    wallMs,
                    usage,
                    result.late99Ms(),
                    away99Ms,
                    0,
                    load));
        }
    }

    @Override
    public void close() {
        endPrevious();
        loads.close();
        standIns.close();
    }
}
