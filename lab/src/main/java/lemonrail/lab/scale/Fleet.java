package lemonrail.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import lemonrail.config.EdgeConfig;
import lemonrail.lab.scale.ScaleScenario.EndpointScope;

/**
 * The sidecars of a site and their control plane. Sidecars beside the endpoints with the lowest numbers are real,
 * all others hollow. A fleet knows the last update that was made to each endpoint's entry, and so the lists that
 * every sidecar has to end up with.
 */
final class Fleet implements AutoCloseable {

    private static final double START_TIMEOUT_MS = 30_000;
    private static final double POLL_INTERVAL_MS = 25;
    /**
     * The reciprocal of the step between the weights of successive updates. Each update of an entry gets a weight
     * of its own, by which the fleet recognizes it at the sidecars. The weights are close to 1 and have no effect,
     * because endpoints are not weighted by size in these runs.
     */
    private static final double WEIGHT_STEPS = 1 << 20;

    /**
     * A change, with the entries that it updates.
     *
     * @param entries the updated entries, by the name of their list
     * @param region the region in which it was made, or below 0 if that does not matter
     * @param otherRegionsNanos from when on the other regions could learn of it, by {@link System#nanoTime}
     */
    record Change(
            ControlPlane.Applied applied,
            Map<String, List<EndpointEntry>> entries,
            int region,
            long otherRegionsNanos) {
        long availableNanos(int viewingRegion) {
            return region < 0 || viewingRegion == region ? applied.atNanos() : otherRegionsNanos;
        }

        /** Returns the same change as if it had been made at another time. */
        Change withTime(long nanos) {
            return new Change(new ControlPlane.Applied(nanos, applied.versions()), entries, region, nanos);
        }

        /**
         * Returns the same change as made in a region, which the other regions could learn of only from a later
         * time on.
         */
        Change withOrigin(int origin, long otherNanos) {
            return new Change(applied, entries, origin, otherNanos);
        }
    }

    /** The processor time of real sidecars at the start of a measurement, by the number of their endpoints. */
    record CostBaseline(long atNanos, Map<Integer, Double> cpuMs) {}

    /**
     * What a real sidecar used, as the mean over all of them, and the most bytes that any of them carried within
     * one second.
     */
    record SidecarCost(double lengthMs, double corePercent, double bytesPerS, long peakBytesPerS) {
        /**
         * Returns the mean over a longer time, during the rest of which the sidecar used what it uses without
         * changes.
         */
        SidecarCost averagedOver(double longerMs, SidecarCost idle) {
            double fraction = lengthMs / Math.max(lengthMs, longerMs);
            return new SidecarCost(
                    longerMs,
                    idle.corePercent + fraction * (corePercent - idle.corePercent),
                    idle.bytesPerS + fraction * (bytesPerS - idle.bytesPerS),
                    peakBytesPerS);
        }
    }

    private final Site site;
    private final EndpointScope scope;
    private final ControlPlane plane;
    private final HollowFleet hollowFleet;
    /** By the number of their endpoint. */
    private final Map<Integer, RealSidecar> realSidecars = new TreeMap<>();
    /** The watch calls of real sidecars, by the number of their endpoint. */
    private final Map<Integer, List<ControlPlane.WatchCall>> calls = new HashMap<>();
    /** The current entry of each endpoint, by its number. */
    private final Map<Integer, EndpointEntry> entries = new TreeMap<>();

    private long updateCount;

    Fleet(ScaleScenario scenario, EndpointScope scope, ControlPlane plane, EdgeConfig config) {
        site = scenario.site();
        this.scope = scope;
        this.plane = plane;
        hollowFleet = new HollowFleet(
                scenario.sidecars().loops(), config, scenario.sidecars().seed());
        for (int i = 0; i < site.endpoints(); i++) {
            entries.put(i, site.createEntry(i));
        }
    }

    /** Starts all sidecars and waits until each has its list. */
    void start(int realCount, ServeCommand command, Path scratch) throws IOException, InterruptedException {
        expectedEntries()
                .forEach((listName, listEntries) -> plane.replaceList(listName, List.copyOf(listEntries.values())));
        for (int i = 0; i < realCount; i++) {
            realSidecars.put(
                    i,
                    RealSidecar.start(
                            "real-" + scope.name().toLowerCase(Locale.ROOT) + "-" + i,
                            command,
                            scratch,
                            plane,
                            site.endpoints(),
                            site.zoneNames(),
                            watchedList(i),
                            node(i),
                            group(i)));
        }
        startHollow(IntStream.range(realCount, site.endpoints()).boxed().toList());
        for (RealSidecar sidecar : realSidecars.values()) {
            sidecar.awaitReady();
        }
        if (!awaitUpToDate(START_TIMEOUT_MS)) {
            throw new IOException(
                    "not all hollow sidecars received their endpoint list within " + START_TIMEOUT_MS + " ms");
        }
    }

    ControlPlane plane() {
        return plane;
    }

    HollowFleet hollowFleet() {
        return hollowFleet;
    }

    Collection<RealSidecar> realSidecars() {
        return realSidecars.values();
    }

    private void startHollow(Collection<Integer> numbers) {
        hollowFleet.start(numbers, plane, this::watchedList, this::node);
    }

    /** Returns the name of the list that the sidecar beside an endpoint watches. */
    private String watchedList(int number) {
        return scope == EndpointScope.ALL ? Site.ALL : Site.listName(site.calledService(number));
    }

    /** Returns the name of the list that contains an endpoint. */
    private String homeList(int number) {
        return scope == EndpointScope.ALL ? Site.ALL : Site.listName(site.serviceOf(number));
    }

    /** Returns the node that a sidecar watches first: one of its region if there is one. */
    private int node(int number) {
        List<Integer> inRegion = nodes(site.regionOf(number));
        return inRegion.isEmpty() ? number % plane.nodes() : inRegion.get(number % inRegion.size());
    }

    /** Returns the control nodes of a region. */
    List<Integer> nodes(int region) {
        return IntStream.range(0, plane.nodes())
                .filter(node -> (int) ((long) node * site.regions() / plane.nodes()) == region)
                .boxed()
                .toList();
    }

    private static String group(int number) {
        return "real-" + number;
    }

    /** Returns the entries that all sidecars must end up with, by list and endpoint id. */
    private Map<String, Map<String, EndpointEntry>> expectedEntries() {
        Map<String, Map<String, EndpointEntry>> lists = new HashMap<>();
        entries.forEach((number, entry) -> lists.computeIfAbsent(homeList(number), k -> new LinkedHashMap<>())
                .put(entry.id(), entry));
        return lists;
    }

    // ---- changes ----

    /** Returns the current entry of an endpoint. */
    EndpointEntry entry(int number) {
        return entries.get(number);
    }

    private EndpointEntry nextUpdate(EndpointEntry entry) {
        return entry.withWeight(1 + ++updateCount / WEIGHT_STEPS);
    }

    /**
     * Updates the entries of endpoints, by their numbers, without a change of meaning. Returns the updated entries
     * by list.
     */
    Map<String, List<EndpointEntry>> repeatEntries(Collection<Integer> numbers) {
        Map<Integer, EndpointEntry> updates = new TreeMap<>();
        numbers.forEach(number -> updates.put(number, entries.get(number)));
        return updateEntries(updates);
    }

    /** Records new entries of endpoints, by their numbers, and returns them by list. */
    Map<String, List<EndpointEntry>> updateEntries(Map<Integer, EndpointEntry> updates) {
        Map<String, List<EndpointEntry>> lists = new LinkedHashMap<>();
        updates.forEach((number, entry) -> {
            EndpointEntry updated = nextUpdate(entry);
            if (entry.state() == EndpointEntry.State.TERMINATED) {
                entries.remove(number);
            } else {
                entries.put(number, updated);
            }
            lists.computeIfAbsent(homeList(number), k -> new ArrayList<>()).add(updated);
        });
        return lists;
    }

    /** Replaces an endpoint by another one. Returns the updated entries by list. */
    Map<String, List<EndpointEntry>> replaceEntry(int number, EndpointEntry successor) {
        EndpointEntry removed = nextUpdate(entries.get(number).withState(EndpointEntry.State.TERMINATED));
        Map<String, List<EndpointEntry>> lists = updateEntries(Map.of(number, successor));
        lists.get(homeList(number)).add(removed);
        return lists;
    }

    /** Makes a change at a control node. */
    Change apply(int node, Map<String, List<EndpointEntry>> change) {
        ControlPlane.Applied applied = plane.apply(node, change);
        return new Change(applied, change, -1, applied.atNanos());
    }

    /** Removes endpoints together with their sidecars, as in a failure. */
    Change removeEndpoints(List<Integer> numbers) {
        hollowFleet.stop(numbers);
        Map<Integer, EndpointEntry> removed = new TreeMap<>();
        numbers.forEach(number -> removed.put(number, entries.get(number).withState(EndpointEntry.State.TERMINATED)));
        return apply(0, updateEntries(removed));
    }

    /**
     * Brings lost endpoints back with new processes. Their sidecars start just before the change is made, so they
     * must learn of it as well.
     */
    Change restoreEndpoints(List<Integer> numbers) {
        long startedMs = 1_000_000 + updateCount;
        Map<Integer, EndpointEntry> restored = new TreeMap<>();
        numbers.forEach(number -> restored.put(number, site.createEntry(number).restartedAt(startedMs)));
        startHollow(numbers);
        return apply(0, updateEntries(restored));
    }

    // ---- measurements ----

    /** Waits until the load balancers of all hollow sidecars have the current lists. Returns false on a timeout. */
    boolean awaitUpToDate(double timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + (long) (timeoutMs * 1e6);
        while (countUpToDate() < hollowFleet.sidecars().size()) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            Churn.sleep(POLL_INTERVAL_MS);
        }
        return true;
    }

    /** Returns how many hollow sidecars have the current list in their load balancer. */
    int countUpToDate() {
        return hollowFleet.countUpToDate(expectedEntries());
    }

    /**
     * Returns how long a change took until each hollow sidecar concerned had it, in ms; NaN for a sidecar that does
     * not have it yet. Sidecars that were started after the change are left out.
     */
    List<Double> hollowPropagationMs(Change change) {
        List<Double> times = new ArrayList<>();
        for (HollowSidecar sidecar : hollowFleet.sidecars()) {
            List<EndpointEntry> updatedEntries = change.entries.get(sidecar.listName());
            if (updatedEntries == null || sidecar.createdNanos() > change.applied.atNanos()) {
                continue;
            }
            long appliedNanos = Long.MIN_VALUE;
            for (EndpointEntry entry : updatedEntries) {
                long updateNanos = sidecar.findUpdateNanos(entry, change.applied.atNanos());
                appliedNanos = updateNanos < 0 || appliedNanos == Long.MAX_VALUE
                        ? Long.MAX_VALUE
                        : Math.max(appliedNanos, updateNanos);
            }
            long startNanos = change.availableNanos(site.regionOf(sidecar.number()));
            times.add(appliedNanos == Long.MAX_VALUE ? Double.NaN : Math.max(0, (appliedNanos - startNanos) / 1e6));
        }
        return times;
    }

    /**
     * Returns the same for real sidecars. A real sidecar has a change when it makes its first watch call from a
     * version that includes the change.
     */
    List<Double> realPropagationMs(Change change) {
        List<Double> times = new ArrayList<>();
        for (int number : realSidecars.keySet()) {
            String listName = watchedList(number);
            if (change.applied.versions().containsKey(listName)) {
                long startNanos = change.availableNanos(site.regionOf(number));
                times.add(calls.getOrDefault(number, List.of()).stream()
                        .filter(call -> call.atNanos() >= change.applied.atNanos()
                                && change.applied.isIncludedIn(listName, call.version()))
                        .mapToDouble(call -> Math.max(0, (call.atNanos() - startNanos) / 1e6))
                        .findFirst()
                        .orElse(Double.NaN));
            }
        }
        return times;
    }

    /** Collects the watch calls that real sidecars have made. */
    void collectCalls() {
        realSidecars
                .keySet()
                .forEach(number ->
                        calls.computeIfAbsent(number, k -> new ArrayList<>()).addAll(plane.takeCalls(group(number))));
    }

    /** Discards all measurements so far, so that costs count from here on. */
    CostBaseline resetMeasurements() {
        collectCalls();
        calls.clear();
        hollowFleet.discardOldUpdates();
        for (int i = 0; i < plane.nodes(); i++) {
            plane.takeCost(i);
        }
        hollowFleet.takeLoad();
        Map<Integer, Double> cpuMs = new HashMap<>();
        realSidecars.forEach((number, sidecar) -> {
            plane.takeTraffic(group(number));
            cpuMs.put(number, sidecar.cpuMs());
        });
        return new CostBaseline(System.nanoTime(), cpuMs);
    }

    /** Returns what a real sidecar has used since the baseline was taken. */
    SidecarCost measureSidecarCost(CostBaseline baseline) {
        double lengthMs = (System.nanoTime() - baseline.atNanos) / 1e6;
        double corePercent = realSidecars.isEmpty() ? Double.NaN : 0;
        double bytesPerS = realSidecars.isEmpty() ? Double.NaN : 0;
        long peakBytesPerS = 0;
        for (Map.Entry<Integer, RealSidecar> sidecar : realSidecars.entrySet()) {
            Traffic.Totals traffic = plane.takeTraffic(group(sidecar.getKey()));
            corePercent += 100
                    * (sidecar.getValue().cpuMs() - baseline.cpuMs.get(sidecar.getKey()))
                    / lengthMs
                    / realSidecars.size();
            bytesPerS += traffic.bytes() / lengthMs * 1000 / realSidecars.size();
            peakBytesPerS = Math.max(peakBytesPerS, traffic.peakPerSecond());
        }
        return new SidecarCost(lengthMs, corePercent, bytesPerS, peakBytesPerS);
    }

    /** Returns the cost of the node that used the most processor time. */
    ControlPlane.Cost takeBusiestNodeCost() {
        ControlPlane.Cost highest = plane.takeCost(0);
        for (int i = 1; i < plane.nodes(); i++) {
            ControlPlane.Cost cost = plane.takeCost(i);
            highest = cost.cpuMs() > highest.cpuMs() ? cost : highest;
        }
        return highest;
    }

    /** Returns the mean resident memory of a real sidecar in MiB; NaN if there is none. */
    double meanResidentMb() throws IOException {
        double meanMb = realSidecars.isEmpty() ? Double.NaN : 0;
        for (RealSidecar sidecar : realSidecars.values()) {
            meanMb += sidecar.residentMb() / realSidecars.size();
        }
        return meanMb;
    }

    @Override
    public void close() {
        realSidecars.values().forEach(RealSidecar::close);
        hollowFleet.close();
        plane.close();
    }
}
