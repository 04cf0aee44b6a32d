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

/** Measures what the control plane costs a sidecar and a control node, point by point. */
final class SlopeRun {

    /** The number of endpoints in the watchers' list when the control node is measured. */
    private static final int SHORT_LIST_SIZE = 10;

    private static final String SHORT_LIST_NAME = "short";
    /**
     * The shortest measurement without changes. A watch call then waits so long that a usual measurement window
     * might contain no call at all.
     */
    private static final double MIN_IDLE_WINDOW_MS = 12_000;

    private final ScaleScenario scenario;
    private final ServeCommand command;
    private final Path scratch;
    private final EdgeConfig config;
    private final PrintWriter output;
    private final Supplier<ControlPlane> planeFactory;
    private final List<Measurement> points = new ArrayList<>();

    SlopeRun(
            ScaleScenario scenario,
            ServeCommand command,
            Path scratch,
            EdgeConfig config,
            PrintWriter output,
            Supplier<ControlPlane> planeFactory) {
        this.planeFactory = planeFactory;
        this.scenario = scenario;
        this.command = command;
        this.scratch = scratch;
        this.config = config;
        this.output = output;
    }

    /** Returns the points measured so far. */
    List<Measurement> points() {
        return points;
    }

    void run() throws IOException, InterruptedException {
        measureSidecars();
        measureControlNode();
    }

    /**
     * Returns a change of one endpoint of each list: with an even number it starts to terminate, and with the next
     * odd number it returns as a new process.
     */
    private static Map<String, List<EndpointEntry>> createChange(Map<String, List<EndpointEntry>> lists, long number) {
        Map<String, List<EndpointEntry>> changes = new LinkedHashMap<>();
        lists.forEach((listName, entries) -> {
            EndpointEntry entry = entries.get((int) (number / 2 % entries.size()));
            changes.put(
                    listName,
                    List.of(
                            number % 2 == 0
                                    ? entry.withState(EndpointEntry.State.TERMINATING)
                                    : entry.restartedAt(1_000_000 + number)));
        });
        return changes;
    }

    private static void makeChanges(
            ControlPlane plane, Map<String, List<EndpointEntry>> lists, double changesPerS, double lengthMs)
            throws InterruptedException {
        Churn.run(changesPerS, lengthMs, number -> plane.apply(0, createChange(lists, number)));
    }

    private void measureSidecars() throws IOException, InterruptedException {
        ScaleScenario.Slopes slopes = scenario.slopes();
        Map<Integer, List<RealSidecar>> sidecarsByListSize = new TreeMap<>();
        Map<String, List<EndpointEntry>> lists = new LinkedHashMap<>();
        try (ControlPlane plane = planeFactory.get()) {
            try {
                for (int listSize : slopes.listSizes()) {
                    Site site = new Site(
                            listSize,
                            1,
                            1,
                            scenario.site().zones(),
                            scenario.site().rackSize());
                    String listName = "listed-" + listSize;
                    lists.put(listName, site.createEntries());
                    plane.replaceList(listName, site.createEntries());
                    for (int i = 0; i < slopes.sidecarsPerListSize(); i++) {
                        String name = listName + "-" + i;
                        sidecarsByListSize
                                .computeIfAbsent(listSize, k -> new ArrayList<>())
                                .add(RealSidecar.start(
                                        name,
                                        command,
                                        scratch,
                                        plane,
                                        scenario.site().endpoints(),
                                        scenario.site().zoneNames(),
                                        listName,
                                        0,
                                        name));
                    }
                }
                for (List<RealSidecar> group : sidecarsByListSize.values()) {
                    for (RealSidecar sidecar : group) {
                        sidecar.awaitReady();
                    }
                }
                double maxChangesPerS =
                        slopes.changesPerS().get(slopes.changesPerS().size() - 1);
                output.printf(
                        Locale.ROOT,
                        "slopes: %d real sidecars, warming up with %.0f changes per second%n",
                        sidecarsByListSize.values().stream()
                                .mapToInt(List::size)
                                .sum(),
                        maxChangesPerS);
                output.flush();
                makeChanges(plane, lists, maxChangesPerS, slopes.initialWarmUpMs());
                for (double changesPerS : slopes.changesPerS()) {
                    measurePoint(plane, sidecarsByListSize, lists, changesPerS);
                }
            } finally {
                sidecarsByListSize.values().forEach(group -> group.forEach(RealSidecar::close));
            }
        }
    }

    private record CpuBaseline(double cpuMs, long atNanos) {}

    private void measurePoint(
            ControlPlane plane,
            Map<Integer, List<RealSidecar>> sidecarsByListSize,
            Map<String, List<EndpointEntry>> lists,
            double changesPerS)
            throws IOException, InterruptedException {
        makeChanges(plane, lists, changesPerS, scenario.slopes().warmUpMs());
        Map<RealSidecar, CpuBaseline> baselines = new LinkedHashMap<>();
        for (List<RealSidecar> group : sidecarsByListSize.values()) {
            for (RealSidecar sidecar : group) {
                plane.takeTraffic(sidecar.name());
                baselines.put(sidecar, new CpuBaseline(sidecar.cpuMs(), System.nanoTime()));
            }
        }
        plane.takeCost(0);
        double windowMs = changesPerS == 0
                ? Math.max(MIN_IDLE_WINDOW_MS, scenario.slopes().windowMs())
                : scenario.slopes().windowMs();
        makeChanges(plane, lists, changesPerS, windowMs);
        ControlPlane.Cost cost = plane.takeCost(0);
        String voidReason = Bottleneck.findVoidReason(
                windowMs, cost, 0, 0, scenario.targets().maxPropagationMs());
        for (Map.Entry<Integer, List<RealSidecar>> group : sidecarsByListSize.entrySet()) {
            double corePercent = 0;
            double bytesPerS = 0;
            double residentMb = 0;
            double proportionalMb = 0;
            int count = group.getValue().size();
            for (RealSidecar sidecar : group.getValue()) {
                double elapsedMs = (System.nanoTime() - baselines.get(sidecar).atNanos) / 1e6;
                corePercent += 100 * (sidecar.cpuMs() - baselines.get(sidecar).cpuMs) / elapsedMs / count;
                bytesPerS += plane.takeTraffic(sidecar.name()).bytes() / elapsedMs * 1000 / count;
                residentMb += sidecar.residentMb() / count;
                proportionalMb += sidecar.proportionalMb() / count;
            }
            add(new Measurement(
                    Measurement.Subject.SIDECAR,
                    group.getKey(),
                    0,
                    changesPerS,
                    corePercent,
                    bytesPerS,
                    residentMb,
                    proportionalMb,
                    cost.lagP99Ms(),
                    0,
                    !voidReason.isEmpty()));
        }
    }

    private void measureControlNode() throws InterruptedException {
        Map<String, List<EndpointEntry>> lists =
                Map.of(SHORT_LIST_NAME, new Site(SHORT_LIST_SIZE, 1, 1, 1, 1).createEntries());
        try (ControlPlane plane = planeFactory.get();
                HollowFleet fleet = new HollowFleet(
                        scenario.sidecars().loops(), config, scenario.sidecars().seed())) {
            plane.replaceList(SHORT_LIST_NAME, lists.get(SHORT_LIST_NAME));
            int running = 0;
            for (int watchers : scenario.slopes().watcherCounts()) {
                fleet.start(
                        IntStream.range(running, watchers).boxed().toList(),
                        plane,
                        number -> SHORT_LIST_NAME,
                        number -> 0);
                running = watchers;
                for (double changesPerS : scenario.slopes().changesPerS()) {
                    makeChanges(plane, lists, changesPerS, scenario.slopes().warmUpMs());
                    plane.takeCost(0);
                    fleet.takeLoad();
                    long startNanos = System.nanoTime();
                    makeChanges(plane, lists, changesPerS, scenario.slopes().windowMs());
                    double elapsedMs = (System.nanoTime() - startNanos) / 1e6;
                    ControlPlane.Cost cost = plane.takeCost(0);
                    HollowFleet.Load load = fleet.takeLoad();
                    boolean isVoid = !Bottleneck.findVoidReason(
                                    elapsedMs,
                                    cost,
                                    load.lagP99Ms(),
                                    load.maxLoopCpuMs(),
                                    scenario.targets().maxPropagationMs())
                            .isEmpty();
                    add(new Measurement(
                            Measurement.Subject.CONTROL,
                            SHORT_LIST_SIZE,
                            watchers,
                            changesPerS,
                            100 * cost.cpuMs() / elapsedMs,
                            cost.bytes() / elapsedMs * 1000,
                            Double.NaN,
                            Double.NaN,
                            cost.lagP99Ms(),
                            load.lagP99Ms(),
                            isVoid));
                    add(new Measurement(
                            Measurement.Subject.HOLLOW,
                            SHORT_LIST_SIZE,
                            watchers,
                            changesPerS,
                            100 * load.cpuMs() / elapsedMs / watchers,
                            cost.bytes() / elapsedMs * 1000 / watchers,
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
        output.println("slopes: " + point.toCsv());
        output.flush();
    }
}
