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
import lemonrail.lab.scale.ScaleScenario.Listed;

/**
 * A site's sidecars before a control plane: real ones beside the first endpoints, hollow ones beside all
 * others. It knows what control was told last of each endpoint, which is what all must come to have.
 */
final class Fleet implements AutoCloseable {

    private static final double MOST_WAIT_MS = 30_000;
    private static final double LOOK_MS = 25;
    /** Weights tell the words on an endpoint apart; they count for nothing where sizes are not told. */
    private static final double WORDS = 1 << 20;

    /**
     * A change, and what it says of which endpoints.
     *
     * @param region in which it was made, or below 0 where that is all the same
     * @param farNanos from when it could be known in the other regions
     */
    record Change(ControlPlane.Applied applied, Map<String, List<EndpointEntry>> lines, int region, long farNanos) {
        long sinceNanos(int in) {
            return region < 0 || in == region ? applied.atNanos() : farNanos;
        }

        /** The same, as if it had been made at another time. */
        Change at(long nanos) {
            return new Change(new ControlPlane.Applied(nanos, applied.versions()), lines, region, nanos);
        }

        /** The same, as made in a region and not to be known elsewhere before a time. */
        Change in(int home, long far) {
            return new Change(applied, lines, home, far);
        }
    }

    /** What real sidecars had taken when something began. */
    record Began(long atNanos, Map<Integer, Double> cpuMs) {}

    /** What a real sidecar took in the mean, and the most bytes within a second at any. */
    record Spent(double lengthMs, double corePercent, double bytesPerS, long peakBytesPerS) {
        /** In the mean over a longer time in which else all was quiet. */
        Spent over(double spanMs, Spent quiet) {
            double part = lengthMs / Math.max(lengthMs, spanMs);
            return new Spent(
                    spanMs,
                    quiet.corePercent + part * (corePercent - quiet.corePercent),
                    quiet.bytesPerS + part * (bytesPerS - quiet.bytesPerS),
                    peakBytesPerS);
        }
    }

    private final Site site;
    private final Listed listed;
    private final ControlPlane plane;
    private final HollowFleet hollow;
    /** By the number of their endpoints. */
    private final Map<Integer, RealSidecar> real = new TreeMap<>();
    /** When real sidecars were heard to ask on. */
    private final Map<Integer, List<ControlPlane.Heard>> heard = new HashMap<>();
    /** The last word on each endpoint, by its number. */
    private final Map<Integer, EndpointEntry> lines = new TreeMap<>();

    private long words;

    Fleet(ScaleScenario scenario, Listed listed, ControlPlane plane, EdgeConfig config) {
        site = scenario.site();
        this.listed = listed;
        this.plane = plane;
        hollow = new HollowFleet(
                scenario.sidecars().loops(), config, scenario.sidecars().seed());
        for (int i = 0; i < site.endpoints(); i++) {
            lines.put(i, site.line(i));
        }
    }

    /** Starts all, and waits until each has its list. */
    void open(int realCount, ServeCommand command, Path scratch) throws IOException, InterruptedException {
        expected().forEach((list, all) -> plane.list(list, List.copyOf(all.values())));
        for (int i = 0; i < realCount; i++) {
            real.put(
                    i,
                    RealSidecar.start(
                            "real-" + listed.name().toLowerCase(Locale.ROOT) + "-" + i,
                            command,
                            scratch,
                            plane,
                            site.endpoints(),
                            site.zoneNames(),
                            list(i),
                            node(i),
                            group(i)));
        }
        startHollow(IntStream.range(realCount, site.endpoints()).boxed().toList());
        for (RealSidecar sidecar : real.values()) {
            sidecar.awaitReady();
        }
        if (!awaitKnowing(MOST_WAIT_MS)) {
            throw new IOException("not all hollow sidecars have their list after " + MOST_WAIT_MS + " ms");
        }
    }

    ControlPlane plane() {
        return plane;
    }

    HollowFleet hollow() {
        return hollow;
    }

    Collection<RealSidecar> real() {
        return real.values();
    }

    private void startHollow(Collection<Integer> numbers) {
        hollow.start(numbers, plane, this::list, this::node);
    }

    /** The list that the sidecar beside an endpoint watches. */
    private String list(int number) {
        return listed == Listed.ALL ? Site.ALL : Site.list(site.called(number));
    }

    /** The list in which an endpoint stands. */
    private String home(int number) {
        return listed == Listed.ALL ? Site.ALL : Site.list(site.service(number));
    }

    /** The node at which a sidecar begins: one of its region, if there is one. */
    private int node(int number) {
        List<Integer> own = nodes(site.region(number));
        return own.isEmpty() ? number % plane.nodes() : own.get(number % own.size());
    }

    /** The control nodes of a region. */
    List<Integer> nodes(int region) {
        return IntStream.range(0, plane.nodes())
                .filter(node -> (int) ((long) node * site.regions() / plane.nodes()) == region)
                .boxed()
                .toList();
    }

    private static String group(int number) {
        return "real-" + number;
    }

    /** What all must come to have, by list and endpoint. */
    private Map<String, Map<String, EndpointEntry>> expected() {
        Map<String, Map<String, EndpointEntry>> lists = new HashMap<>();
        lines.forEach((number, line) ->
                lists.computeIfAbsent(home(number), k -> new LinkedHashMap<>()).put(line.id(), line));
        return lists;
    }

    // ---- what happens ----

    /** The last word on an endpoint. */
    EndpointEntry line(int number) {
        return lines.get(number);
    }

    private EndpointEntry said(EndpointEntry line) {
        return line.weighing(1 + ++words / WORDS);
    }

    /** A further word on an endpoint, by its number, of no other meaning. */
    Map<String, List<EndpointEntry>> again(Collection<Integer> numbers) {
        Map<Integer, EndpointEntry> news = new TreeMap<>();
        numbers.forEach(number -> news.put(number, lines.get(number)));
        return now(news);
    }

    /** What is said of endpoints from now on. */
    Map<String, List<EndpointEntry>> now(Map<Integer, EndpointEntry> news) {
        Map<String, List<EndpointEntry>> lists = new LinkedHashMap<>();
        news.forEach((number, line) -> {
            EndpointEntry word = said(line);
            if (line.state() == EndpointEntry.State.TERMINATED) {
                lines.remove(number);
            } else {
                lines.put(number, word);
            }
            lists.computeIfAbsent(home(number), k -> new ArrayList<>()).add(word);
        });
        return lists;
    }

    /** An endpoint's place is taken by another. */
    Map<String, List<EndpointEntry>> replaced(int number, EndpointEntry successor) {
        EndpointEntry before = said(lines.get(number).with(EndpointEntry.State.TERMINATED));
        Map<String, List<EndpointEntry>> lists = now(Map.of(number, successor));
        lists.get(home(number)).add(before);
        return lists;
    }

    /** Makes a change, at a node. */
    Change apply(int node, Map<String, List<EndpointEntry>> change) {
        ControlPlane.Applied applied = plane.apply(node, change);
        return new Change(applied, change, -1, applied.atNanos());
    }

    /** Endpoints and their sidecars are lost at once. */
    Change lose(List<Integer> numbers) {
        hollow.stop(numbers);
        Map<Integer, EndpointEntry> gone = new TreeMap<>();
        numbers.forEach(number -> gone.put(number, lines.get(number).with(EndpointEntry.State.TERMINATED)));
        return apply(0, now(gone));
    }

    /** They are back, with new processes: the sidecars start just before, so they must have it as well. */
    Change back(List<Integer> numbers) {
        long startedMs = 1_000_000 + words;
        Map<Integer, EndpointEntry> fresh = new TreeMap<>();
        numbers.forEach(number -> fresh.put(number, site.line(number).started(startedMs)));
        startHollow(numbers);
        return apply(0, now(fresh));
    }

    // ---- what is seen ----

    /** Waits until all hollow sidecars have, in their deciders, what control was told last. */
    boolean awaitKnowing(double mostMs) throws InterruptedException {
        long until = System.nanoTime() + (long) (mostMs * 1e6);
        while (knowing() < hollow.sidecars().size()) {
            if (System.nanoTime() > until) {
                return false;
            }
            Churn.rest(LOOK_MS);
        }
        return true;
    }

    /** How many hollow sidecars have, in their deciders, what control was told last. */
    int knowing() {
        return hollow.knowing(expected());
    }

    /** How long a change took at each hollow sidecar that it is for; NaN where it has not come to it. */
    List<Double> hollowMs(Change change) {
        List<Double> taken = new ArrayList<>();
        for (HollowSidecar sidecar : hollow.sidecars()) {
            List<EndpointEntry> told = change.lines.get(sidecar.list());
            if (told == null || sidecar.bornNanos() > change.applied.atNanos()) {
                continue;
            }
            long had = Long.MIN_VALUE;
            for (EndpointEntry line : told) {
                long one = sidecar.hadNanos(line, change.applied.atNanos());
                had = one < 0 || had == Long.MAX_VALUE ? Long.MAX_VALUE : Math.max(had, one);
            }
            long since = change.sinceNanos(site.region(sidecar.number()));
            taken.add(had == Long.MAX_VALUE ? Double.NaN : Math.max(0, (had - since) / 1e6));
        }
        return taken;
    }

    /** The same at real sidecars, by the calls with which they asked on. */
    List<Double> realMs(Change change) {
        List<Double> taken = new ArrayList<>();
        for (int number : real.keySet()) {
            String list = list(number);
            if (change.applied.versions().containsKey(list)) {
                long since = change.sinceNanos(site.region(number));
                taken.add(heard.getOrDefault(number, List.of()).stream()
                        .filter(call ->
                                call.atNanos() >= change.applied.atNanos() && change.applied.isIn(list, call.version()))
                        .mapToDouble(call -> Math.max(0, (call.atNanos() - since) / 1e6))
                        .findFirst()
                        .orElse(Double.NaN));
            }
        }
        return taken;
    }

    /** Takes in what was heard of real sidecars. */
    void hear() {
        real.keySet()
                .forEach(number ->
                        heard.computeIfAbsent(number, k -> new ArrayList<>()).addAll(plane.heard(group(number))));
    }

    /** Forgets what has been: costs count from here. */
    Began begin() {
        hear();
        heard.clear();
        hollow.forget();
        for (int i = 0; i < plane.nodes(); i++) {
            plane.cost(i);
        }
        hollow.load();
        Map<Integer, Double> cpuMs = new HashMap<>();
        real.forEach((number, sidecar) -> {
            plane.traffic(group(number));
            cpuMs.put(number, sidecar.cpuMs());
        });
        return new Began(System.nanoTime(), cpuMs);
    }

    /** What real sidecars have taken since. */
    Spent spent(Began began) {
        double lengthMs = (System.nanoTime() - began.atNanos) / 1e6;
        double percent = real.isEmpty() ? Double.NaN : 0;
        double bytes = real.isEmpty() ? Double.NaN : 0;
        long peak = 0;
        for (Map.Entry<Integer, RealSidecar> each : real.entrySet()) {
            Traffic.Seen seen = plane.traffic(group(each.getKey()));
            percent += 100 * (each.getValue().cpuMs() - began.cpuMs.get(each.getKey())) / lengthMs / real.size();
            bytes += seen.bytes() / lengthMs * 1000 / real.size();
            peak = Math.max(peak, seen.peakPerSecond());
        }
        return new Spent(lengthMs, percent, bytes, peak);
    }

    /** Of the node that cost the most. */
    ControlPlane.Cost control() {
        ControlPlane.Cost most = plane.cost(0);
        for (int i = 1; i < plane.nodes(); i++) {
            ControlPlane.Cost cost = plane.cost(i);
            most = cost.cpuMs() > most.cpuMs() ? cost : most;
        }
        return most;
    }

    /** Resident memory of a real sidecar, in the mean, in MB. */
    double residentMb() throws IOException {
        double resident = real.isEmpty() ? Double.NaN : 0;
        for (RealSidecar sidecar : real.values()) {
            resident += sidecar.residentMb() / real.size();
        }
        return resident;
    }

    @Override
    public void close() {
        real.values().forEach(RealSidecar::close);
        hollow.close();
        plane.close();
    }
}
