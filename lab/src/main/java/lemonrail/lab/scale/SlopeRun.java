package lemonrail.lab.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import lemonrail.config.EdgeConfig;

/** Measures what control costs a sidecar and a control node, point by point. */
final class SlopeRun {

    /** Endpoints that the watchers list where it is the control node that is measured. */
    private static final int SHORT_LIST = 10;

    private static final String SHORT = "short";
    /** Without changes a call waits so long that a plain window may hold none of it. */
    private static final double LEAST_IDLE_MS = 12_000;

    private final ScaleScenario scenario;
    private final ServeCommand command;
    private final Path scratch;
    private final EdgeConfig config;
    private final PrintWriter words;
    private final Supplier<ControlPlane> planes;
    private final List<Measurement> points = new ArrayList<>();

    SlopeRun(
            ScaleScenario scenario,
            ServeCommand command,
            Path scratch,
            EdgeConfig config,
            PrintWriter words,
            Supplier<ControlPlane> planes) {
        this.planes = planes;
        this.scenario = scenario;
        this.command = command;
        this.scratch = scratch;
        this.config = config;
        this.words = words;
    }

    /** What has been measured so far. */
    List<Measurement> points() {
        return points;
    }

    void run() throws IOException, InterruptedException {
        sidecars();
        control();
    }

    /** A change of an endpoint: it leaves, and at the next change comes back as a new process. */
    private static Map<String, List<EndpointEntry>> change(Map<String, List<EndpointEntry>> lists, long number) {
        Map<String, List<EndpointEntry>> changes = new LinkedHashMap<>();
        lists.forEach((list, lines) -> {
            EndpointEntry line = lines.get((int) (number / 2 % lines.size()));
            changes.put(
                    list,
                    List.of(
                            number % 2 == 0
                                    ? line.with(EndpointEntry.State.TERMINATING)
                                    : line.started(1_000_000 + number)));
        });
        return changes;
    }

    private static void pour(
            ControlPlane plane, Map<String, List<EndpointEntry>> lists, double perSecond, double lengthMs)
            throws InterruptedException {
        Churn.run(perSecond, lengthMs, number -> plane.apply(0, change(lists, number)));
    }

    private void sidecars() throws IOException, InterruptedException {
        ScaleScenario.Slopes slopes = scenario.slopes();
        Map<Integer, List<RealSidecar>> real = new TreeMap<>();
        Map<String, List<EndpointEntry>> lists = new LinkedHashMap<>();
        try (ControlPlane plane = planes.get()) {
            try {
                for (int listed : slopes.listed()) {
                    Site site = new Site(
                            listed,
                            1,
                            1,
                            scenario.site().zones(),
                            scenario.site().rack());
                    String list = "listed-" + listed;
                    lists.put(list, site.lines());
                    plane.list(list, site.lines());
                    for (int i = 0; i < slopes.perSize(); i++) {
                        String name = list + "-" + i;
                        real.computeIfAbsent(listed, k -> new ArrayList<>())
                                .add(RealSidecar.start(
                                        name,
                                        command,
                                        scratch,
                                        plane,
                                        scenario.site().endpoints(),
                                        scenario.site().zoneNames(),
                                        list,
                                        0,
                                        name));
                    }
                }
                for (List<RealSidecar> group : real.values()) {
                    for (RealSidecar sidecar : group) {
                        sidecar.awaitReady();
                    }
                }
                double heat = slopes.changes().get(slopes.changes().size() - 1);
                words.printf(
                        Locale.ROOT,
                        "slopes: %d real sidecars, warming up by %.0f changes a second%n",
                        real.values().stream().mapToInt(List::size).sum(),
                        heat);
                words.flush();
                pour(plane, lists, heat, slopes.heatMs());
                for (double rate : slopes.changes()) {
                    point(plane, real, lists, rate);
                }
            } finally {
                real.values().forEach(group -> group.forEach(RealSidecar::close));
            }
        }
    }

    private record Before(double cpuMs, long atNanos) {}

    private void point(
            ControlPlane plane,
            Map<Integer, List<RealSidecar>> real,
            Map<String, List<EndpointEntry>> lists,
            double rate)
            throws IOException, InterruptedException {
        pour(plane, lists, rate, scenario.slopes().warmUpMs());
        Map<RealSidecar, Before> before = new LinkedHashMap<>();
        for (List<RealSidecar> group : real.values()) {
            for (RealSidecar sidecar : group) {
                plane.traffic(sidecar.name());
                before.put(sidecar, new Before(sidecar.cpuMs(), System.nanoTime()));
            }
        }
        plane.cost(0);
        double windowMs = rate == 0
                ? Math.max(LEAST_IDLE_MS, scenario.slopes().windowMs())
                : scenario.slopes().windowMs();
        pour(plane, lists, rate, windowMs);
        ControlPlane.Cost cost = plane.cost(0);
        String why = Bottleneck.why(windowMs, cost, 0, 0, scenario.targets().inForceMs());
        for (Map.Entry<Integer, List<RealSidecar>> group : real.entrySet()) {
            double percent = 0;
            double bytes = 0;
            double resident = 0;
            double proportional = 0;
            int count = group.getValue().size();
            for (RealSidecar sidecar : group.getValue()) {
                double ms = (System.nanoTime() - before.get(sidecar).atNanos) / 1e6;
                percent += 100 * (sidecar.cpuMs() - before.get(sidecar).cpuMs) / ms / count;
                bytes += plane.traffic(sidecar.name()).bytes() / ms * 1000 / count;
                resident += sidecar.residentMb() / count;
                proportional += sidecar.proportionalMb() / count;
            }
            add(new Measurement(
                    Measurement.What.SIDECAR,
                    group.getKey(),
                    0,
                    rate,
                    percent,
                    bytes,
                    resident,
                    proportional,
                    cost.lagP99Ms(),
                    0,
                    !why.isEmpty()));
        }
    }

    private void control() throws InterruptedException {
        Map<String, List<EndpointEntry>> lists = Map.of(SHORT, new Site(SHORT_LIST, 1, 1, 1, 1).lines());
        try (ControlPlane plane = planes.get();
                HollowFleet fleet = new HollowFleet(
                        scenario.sidecars().loops(), config, scenario.sidecars().seed())) {
            plane.list(SHORT, lists.get(SHORT));
            int running = 0;
            for (int watchers : scenario.slopes().watchers()) {
                fleet.start(IntStream.range(running, watchers).boxed().toList(), plane, number -> SHORT, number -> 0);
                running = watchers;
                for (double rate : scenario.slopes().changes()) {
                    pour(plane, lists, rate, scenario.slopes().warmUpMs());
                    plane.cost(0);
                    fleet.load();
                    long began = System.nanoTime();
                    pour(plane, lists, rate, scenario.slopes().windowMs());
                    double ms = (System.nanoTime() - began) / 1e6;
                    ControlPlane.Cost cost = plane.cost(0);
                    HollowFleet.Load load = fleet.load();
                    boolean isVoid = !Bottleneck.why(
                                    ms,
                                    cost,
                                    load.lagP99Ms(),
                                    load.mostCpuMs(),
                                    scenario.targets().inForceMs())
                            .isEmpty();
                    add(new Measurement(
                            Measurement.What.CONTROL,
                            SHORT_LIST,
                            watchers,
                            rate,
                            100 * cost.cpuMs() / ms,
                            cost.bytes() / ms * 1000,
                            Double.NaN,
                            Double.NaN,
                            cost.lagP99Ms(),
                            load.lagP99Ms(),
                            isVoid));
                    add(new Measurement(
                            Measurement.What.HOLLOW,
                            SHORT_LIST,
                            watchers,
                            rate,
                            100 * load.cpuMs() / ms / watchers,
                            cost.bytes() / ms * 1000 / watchers,
                            Double.NaN,
                            Double.NaN,
                            cost.lagP99Ms(),
                            load.lagP99Ms(),
                            isVoid));
                }
            }
        }
    }

    private void add(Measurement point) {
        points.add(point);
        words.println("slopes: " + point.csv());
        words.flush();
    }
}
