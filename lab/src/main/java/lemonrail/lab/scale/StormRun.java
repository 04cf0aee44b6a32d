package lemonrail.lab.scale;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import lemonrail.config.EdgeConfig;
import lemonrail.lab.scale.ScaleScenario.EndpointScope;
import lemonrail.lab.scale.ScaleScenario.Storm;

/**
 * Plays storms one after another, first on a fleet whose sidecars list all endpoints, then on one whose sidecars
 * list those of one service.
 */
final class StormRun {

    /** How long the run waits for a change, as a multiple of the allowed propagation time. */
    private static final double SETTLE_TIMEOUT_FACTOR = 7;

    private static final double POLL_INTERVAL_MS = 50;
    /** The pause without changes before a storm. */
    private static final double PAUSE_BEFORE_STORM_MS = 700;

    /** How long costs still count after the last change of a storm is in force. */
    private static final double COST_MEASUREMENT_EXTENSION_MS = 500;
    /**
     * Processor time and bytes are compared with the targets as averages over at least this time, and those of a
     * DAY storm over the time in which that many changes occur in a day.
     */
    private static final double MIN_COST_AVERAGING_MS = 60_000;

    private static final double DAY_MS = 86_400_000;
    private static final double CHANGES_PER_DAY = 1200;
    /** The rate of changes in the warm-up before the first storm. */
    private static final double WARM_UP_CHANGES_PER_S = 20;

    private static final double MILLIS_PER_SECOND = 1000;
    /** The distance between endpoints that change in succession, so that they are in different racks. */
    private static final int ENDPOINT_STRIDE = 7;

    /** The header line for {@link #changeLines}. */
    static final String CHANGES_CSV_HEADER = "storm,listed,change,at_ms,pairs,never,p50_ms,p99_ms,most_ms";

    private final ScaleScenario scenario;
    private final Site site;
    private final ServeCommand command;
    private final Path scratch;
    private final EdgeConfig config;
    private final PrintWriter output;
    private final Supplier<ControlPlane> planeFactory;
    private final List<StormRow> rows = new ArrayList<>();
    private final List<String> changeLines = new ArrayList<>();
    private final List<Fleet.Change> changes = new ArrayList<>();
    /** How long settings took until they were in force, in ms: at all sidecars, then at each. */
    private List<Double> settingsDelaysMs = List.of();

    private final double settleTimeoutMs;
    private Fleet fleet;
    /** A real sidecar's cost without changes. */
    private Fleet.SidecarCost idleCost;

    StormRun(
            ScaleScenario scenario,
            ServeCommand command,
            Path scratch,
            EdgeConfig config,
            PrintWriter output,
            Supplier<ControlPlane> planeFactory) {
        this.scenario = scenario;
        this.site = scenario.site();
        this.command = command;
        this.scratch = scratch;
        this.config = config;
        this.output = output;
        this.planeFactory = planeFactory;
        settleTimeoutMs = SETTLE_TIMEOUT_FACTOR * scenario.targets().maxPropagationMs();
    }

    /** Returns each change of each storm as a line of CSV. */
    List<String> changeLines() {
        return changeLines;
    }

    /** Returns the results so far. */
    List<StormRow> rows() {
        return rows;
    }

    void run() throws IOException, InterruptedException {
        for (EndpointScope scope : EndpointScope.values()) {
            List<Storm> storms = scenario.storms().stream()
                    .filter(storm -> storm.scope() == scope)
                    .toList();
            if (!storms.isEmpty()) {
                try (Fleet openedFleet = new Fleet(scenario, scope, planeFactory.get(), config)) {
                    fleet = openedFleet;
                    prepare(scope);
                    for (Storm storm : storms) {
                        playStorm(storm);
                    }
                }
            }
        }
    }

    private void prepare(EndpointScope scope) throws IOException, InterruptedException {
        fleet.start(scenario.sidecars().realCount(), command, scratch);
        log(
                "storms: %d hollow and %d real sidecars are running, endpoints in each list: %s",
                fleet.hollowFleet().sidecars().size(), fleet.realSidecars().size(), keyName(scope));
        makeChanges(WARM_UP_CHANGES_PER_S, scenario.sidecars().warmUpMs());
        fleet.awaitUpToDate(settleTimeoutMs);
        Churn.sleep(PAUSE_BEFORE_STORM_MS);
        Fleet.CostBaseline idleBaseline = fleet.resetMeasurements();
        Churn.sleep(scenario.sidecars().idleMs());
        idleCost = fleet.measureSidecarCost(idleBaseline);
        log(
                "storms: without changes a real sidecar uses %.2f %% of a core and transfers %.0f bytes per second",
                idleCost.corePercent(), idleCost.bytesPerS());
    }

    private void log(String format, Object... values) {
        output.printf(Locale.ROOT, format + "%n", values);
        output.flush();
    }

    private static String keyName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private void playStorm(Storm storm) throws IOException, InterruptedException {
        Churn.sleep(PAUSE_BEFORE_STORM_MS);
        changes.clear();
        settingsDelaysMs = List.of();
        long fullListCount = fleet.hollowFleet().fullListCount();
        Fleet.CostBaseline baseline = fleet.resetMeasurements();
        String unsupportedReason = playEvents(storm);
        settle();
        Churn.sleep(COST_MEASUREMENT_EXTENSION_MS);
        StormRow row = createRow(
                storm,
                fleet.measureSidecarCost(baseline),
                fleet.hollowFleet().fullListCount() - fullListCount,
                unsupportedReason);
        rows.add(row);
        addChangeLines(storm, baseline.atNanos());
        log(
                "storms: %s, %s listed: %s; in force after %.0f ms (p50), %.0f (p99), %.0f (max), %.0f (max of "
                        + "real sidecars); a real sidecar uses %.2f %% of a core, %.0f B/s%s",
                row.name(),
                keyName(storm.scope()),
                row.verdict().label(),
                row.p50Ms(),
                row.p99Ms(),
                row.maxMs(),
                row.realMaxMs(),
                row.realCpuPercent(),
                row.realBytesPerS(),
                row.note().isEmpty() ? "" : "; " + row.note());
    }

    // ---- events ----

    /**
     * Plays the events of a storm. Returns why the control plane does not support it, or an empty string if it does.
     */
    private String playEvents(Storm storm) throws IOException, InterruptedException {
        switch (storm.kind()) {
            case CHANGE, DAY ->
                makeChanges(storm.changeCount() * MILLIS_PER_SECOND / storm.lengthMs(), storm.lengthMs());
            case RELEASE -> replaceService(storm);
            case MACHINE -> failEndpoints(1, storm);
            case RACK -> failEndpoints(site.rackSize(), storm);
            case ZONE -> failEndpoints(site.zoneSize(), storm);
            case REGION -> failEndpoints(site.regionSize(), storm);
            case CONTROL_DOWN, CONTROL_RESTART -> stopControl(storm);
            case NODE_LOST -> {
                return loseNode();
            }
            case REGIONS_CUT -> {
                return partitionRegions(storm);
            }
            case SETTINGS -> {
                return changeSettings();
            }
            default -> throw new IllegalStateException("unknown kind of storm: " + storm.kind());
        }
        return "";
    }

    /** Makes changes of one endpoint each, at a constant rate. */
    private void makeChanges(double changesPerSecond, double lengthMs) throws InterruptedException {
        Churn.run(
                changesPerSecond,
                lengthMs,
                number -> changes.add(fleet.apply(
                        0, fleet.repeatEntries(List.of((int) (number * ENDPOINT_STRIDE % site.endpoints()))))));
    }

    /**
     * Replaces the endpoints of one service: one after another starts to terminate, and is replaced at the next
     * step.
     */
    private void replaceService(Storm storm) throws InterruptedException {
        List<Integer> members = IntStream.range(0, site.endpoints())
                .filter(endpoint -> site.serviceOf(endpoint) == 1)
                .boxed()
                .toList();
        int steps = 2 * members.size();
        Churn.run(steps * MILLIS_PER_SECOND / storm.lengthMs(), storm.lengthMs(), number -> {
            int member = members.get((int) (number / 2 % members.size()));
            EndpointEntry entry = fleet.entry(member);
            changes.add(fleet.apply(
                    0,
                    number % 2 == 0
                            ? fleet.updateEntries(Map.of(member, entry.withState(EndpointEntry.State.TERMINATING)))
                            : fleet.replaceEntry(member, site.createSuccessor(member, 1 + rows.size()))));
        });
    }

    /** Removes the last endpoints with their sidecars, and restores them after the storm's length. */
    private void failEndpoints(int count, Storm storm) throws InterruptedException {
        List<Integer> failed = IntStream.range(site.endpoints() - count, site.endpoints())
                .boxed()
                .toList();
        changes.add(fleet.removeEndpoints(failed));
        Churn.sleep(storm.lengthMs());
        changes.add(fleet.restoreEndpoints(failed));
    }

    /** Makes a change that concerns each sidecar: of one endpoint of each service. */
    private Fleet.Change changeEachService(int node) {
        return fleet.apply(
                node,
                fleet.repeatEntries(IntStream.range(0, site.services()).boxed().toList()));
    }

    /**
     * Stops the control plane for the storm's length. The propagation time of changes made meanwhile counts from
     * its return.
     */
    private void stopControl(Storm storm) throws InterruptedException {
        ControlPlane plane = fleet.plane();
        for (int i = 0; i < plane.nodes(); i++) {
            plane.stopNode(i);
        }
        Churn.sleep(storm.lengthMs());
        boolean withoutState = storm.kind() == ScaleScenario.Kind.CONTROL_RESTART;
        List<Fleet.Change> meanwhile = new ArrayList<>();
        if (!withoutState) {
            meanwhile.add(changeEachService(0));
            for (int i = 1; i < storm.changeCount(); i++) {
                meanwhile.add(fleet.apply(0, fleet.repeatEntries(List.of(i * ENDPOINT_STRIDE % site.endpoints()))));
            }
        }
        long backNanos = System.nanoTime();
        for (int i = 0; i < plane.nodes(); i++) {
            plane.startNode(i, withoutState);
        }
        if (withoutState) {
            // Versions begin anew, so a change just afterwards shows which sidecars receive updates again.
            meanwhile.add(changeEachService(0));
        }
        meanwhile.forEach(change -> changes.add(change.withTime(backNanos)));
    }

    /**
     * Stops a node and makes a change at another one. A control plane with only one node has its hollow
     * sidecars moved to another address instead.
     */
    private String loseNode() throws InterruptedException {
        Optional<String> unsupported = fleet.plane().findUnsupportedReason(ControlPlane.Capability.NODE_LOST);
        long lostNanos = System.nanoTime();
        if (unsupported.isPresent()) {
            fleet.hollowFleet().moveToOtherAddress();
            changes.add(changeEachService(0).withTime(lostNanos));
            return unsupported.get();
        }
        fleet.plane().stopNode(0);
        changes.add(changeEachService(fleet.plane().nodes() - 1).withTime(lostNanos));
        settle();
        fleet.plane().startNode(0, true);
        return "";
    }

    /** Partitions the first region from the others for the storm's length, and makes changes on both sides. */
    private String partitionRegions(Storm storm) throws InterruptedException {
        Optional<String> unsupported = fleet.plane().findUnsupportedReason(ControlPlane.Capability.REGIONS_CUT);
        if (unsupported.isPresent()) {
            return unsupported.get();
        }
        List<Integer> firstRegion = fleet.nodes(0);
        List<Integer> otherRegions = IntStream.range(0, fleet.plane().nodes())
                .filter(node -> !firstRegion.contains(node))
                .boxed()
                .toList();
        firstRegion.forEach(
                node -> otherRegions.forEach(otherNode -> fleet.plane().setPartitioned(node, otherNode, true)));
        List<Fleet.Change> meanwhile = new ArrayList<>();
        Churn.run(storm.changeCount() * MILLIS_PER_SECOND / storm.lengthMs(), storm.lengthMs(), number -> {
            int region = (int) (number % 2);
            int endpoint = region == 0
                    ? (int) number % site.regionSize()
                    : site.endpoints() - 1 - (int) number % site.regionSize();
            meanwhile.add(fleet.apply(
                            region == 0 ? firstRegion.get(0) : otherRegions.get(0),
                            fleet.repeatEntries(List.of(endpoint)))
                    .withOrigin(region == 0 ? 0 : site.regions() - 1, 0));
        });
        long healedNanos = System.nanoTime();
        firstRegion.forEach(
                node -> otherRegions.forEach(otherNode -> fleet.plane().setPartitioned(node, otherNode, false)));
        meanwhile.forEach(change -> changes.add(change.withOrigin(change.region(), healedNanos)));
        return "";
    }

    private String changeSettings() throws IOException, InterruptedException {
        Optional<String> unsupported = fleet.plane().findUnsupportedReason(ControlPlane.Capability.SETTINGS);
        if (unsupported.isEmpty()) {
            settingsDelaysMs = fleet.plane().changeSettings(0, settleTimeoutMs);
            return "";
        }
        double maxReloadMs = 0;
        for (RealSidecar sidecar : fleet.realSidecars()) {
            maxReloadMs = Math.max(maxReloadMs, sidecar.reload((long) settleTimeoutMs));
        }
        return unsupported.get()
                + String.format(
                        Locale.ROOT,
                        "; %d real ones were told by hand, one after " + "another, and said so after %.0f ms at most",
                        fleet.realSidecars().size(),
                        maxReloadMs);
    }

    // ---- results ----

    /** Waits until all sidecars have all changes, or until the timeout. */
    private void settle() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + (long) (settleTimeoutMs * 1e6);
        fleet.awaitUpToDate(settleTimeoutMs);
        int appliedCount = 0;
        while (appliedCount < changes.size() && System.nanoTime() < deadlineNanos) {
            fleet.collectCalls();
            // All changes before the first one that is not in force have been checked.
            while (appliedCount < changes.size() && isAppliedEverywhere(changes.get(appliedCount))) {
                appliedCount++;
            }
            if (appliedCount < changes.size()) {
                Churn.sleep(POLL_INTERVAL_MS);
            }
        }
    }

    private boolean isAppliedEverywhere(Fleet.Change change) {
        return fleet.hollowPropagationMs(change).stream().noneMatch(ms -> ms.isNaN())
                && fleet.realPropagationMs(change).stream().noneMatch(ms -> ms.isNaN());
    }

    private StormRow createRow(Storm storm, Fleet.SidecarCost cost, long fullListCount, String unsupportedReason)
            throws IOException {
        fleet.collectCalls();
        PropagationTimes allTimes = new PropagationTimes();
        PropagationTimes realTimes = new PropagationTimes();
        allTimes.add(settingsDelaysMs);
        for (Fleet.Change change : changes) {
            allTimes.add(fleet.hollowPropagationMs(change));
            realTimes.add(fleet.realPropagationMs(change));
        }
        ControlPlane.Cost nodeCost = fleet.takeBusiestNodeCost();
        HollowFleet.Load load = fleet.hollowFleet().takeLoad();
        int hollowCount = fleet.hollowFleet().sidecars().size();
        int upToDateCount = fleet.countUpToDate();
        String note = unsupportedReason;
        StormRow.Verdict verdict = StormRow.Verdict.NOT_CARRIED;
        if (unsupportedReason.isEmpty()) {
            note = Bottleneck.findVoidReason(
                    cost.lengthMs(),
                    nodeCost,
                    load.lagP99Ms(),
                    load.maxLoopCpuMs(),
                    scenario.targets().maxPropagationMs());
            verdict = StormRow.Verdict.VOID;
            if (note.isEmpty()) {
                note = describeMissedTargets(
                        allTimes,
                        realTimes,
                        upToDateCount < hollowCount,
                        cost.averagedOver(
                                storm.kind() == ScaleScenario.Kind.DAY
                                        ? DAY_MS * storm.changeCount() / CHANGES_PER_DAY
                                        : MIN_COST_AVERAGING_MS,
                                idleCost));
                verdict = note.isEmpty() ? StormRow.Verdict.MET : StormRow.Verdict.MISSED;
                String lateness = Bottleneck.findLatenessReason(
                        load.maxLagMs(), scenario.targets().maxPropagationMs());
                if (allTimes.percentileMs(1) > scenario.targets().maxPropagationMs() && !lateness.isEmpty()) {
                    note = lateness + "; " + note;
                    verdict = StormRow.Verdict.VOID;
                }
            }
        }
        return new StormRow(
                storm,
                hollowCount + fleet.realSidecars().size(),
                changes.size(),
                cost.lengthMs(),
                allTimes.pairs(),
                allTimes.neverApplied(),
                allTimes.percentileMs(0.5),
                allTimes.percentileMs(0.99),
                allTimes.percentileMs(1),
                allTimes.slowestPercentileMs(0.5),
                realTimes.percentileMs(1),
                upToDateCount,
                hollowCount,
                (int) fullListCount,
                100 * nodeCost.cpuMs() / cost.lengthMs(),
                nodeCost.bytes() / cost.lengthMs() * MILLIS_PER_SECOND,
                nodeCost.peakBytesPerS(),
                load.cpuMs() / hollowCount,
                cost.corePercent(),
                cost.bytesPerS(),
                cost.peakBytesPerS(),
                fleet.meanResidentMb(),
                nodeCost.lagP99Ms(),
                load.lagP99Ms(),
                verdict,
                note);
    }

    private String describeMissedTargets(
            PropagationTimes allTimes, PropagationTimes realTimes, boolean hasOutdated, Fleet.SidecarCost cost) {
        ScaleScenario.Targets targets = scenario.targets();
        List<String> missed = new ArrayList<>();
        if (allTimes.neverApplied() + realTimes.neverApplied() > 0) {
            missed.add(allTimes.neverApplied() + realTimes.neverApplied() + " were never in force");
        }
        double maxMs = Math.max(
                allTimes.percentileMs(1),
                realTimes.pairs() == realTimes.neverApplied() ? 0 : realTimes.percentileMs(1));
        if (maxMs > targets.maxPropagationMs()) {
            missed.add(String.format(Locale.ROOT, "in force after %.0f ms", maxMs));
        }
        if (hasOutdated) {
            missed.add("some have another list than control");
        }
        if (cost.corePercent() > targets.maxCorePercent()) {
            missed.add(String.format(Locale.ROOT, "%.2f %% of a core a sidecar", cost.corePercent()));
        }
        if (cost.bytesPerS() > targets.maxKilobytesPerS() * MILLIS_PER_SECOND) {
            missed.add(String.format(Locale.ROOT, "%.1f KB a second a sidecar", cost.bytesPerS() / MILLIS_PER_SECOND));
        }
        return String.join("; ", missed);
    }

    private void addChangeLines(Storm storm, long startNanos) {
        for (int i = 0; i < changes.size(); i++) {
            PropagationTimes times = new PropagationTimes();
            times.add(fleet.hollowPropagationMs(changes.get(i)));
            changeLines.add(String.format(
                    Locale.ROOT,
                    "%s,%s,%d,%.1f,%d,%d,%.2f,%.2f,%.2f",
                    keyName(storm.kind()),
                    keyName(storm.scope()),
                    i,
                    (changes.get(i).applied().atNanos() - startNanos) / 1e6,
                    times.pairs(),
                    times.neverApplied(),
                    times.percentileMs(0.5),
                    times.percentileMs(0.99),
                    times.percentileMs(1)));
        }
    }
}
