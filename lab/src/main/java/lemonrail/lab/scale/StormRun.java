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
import lemonrail.lab.scale.ScaleScenario.Listed;
import lemonrail.lab.scale.ScaleScenario.Storm;

/** Plays storms, one after another, on fleets that are told of all endpoints or of one service's. */
final class StormRun {

    /** A change is waited for so many times as long as it may take until it is in force. */
    private static final double WAIT_TIMES = 7;

    private static final double LOOK_MS = 50;
    /** Before a storm all is quiet for so long; after the last is in force costs still count for so long. */
    private static final double QUIET_MS = 700;

    private static final double AFTER_MS = 500;
    /** Processor time and bytes are judged over this time at least, and those of a day over a day. */
    private static final double JUDGED_MS = 60_000;

    private static final double DAY_MS = 86_400_000;
    private static final double CHANGES_A_DAY = 1200;
    /** Changes before the first storm. */
    private static final double HEAT_PER_S = 20;

    private static final double S_MS = 1000;
    /** So that changes that follow one another are of other racks. */
    private static final int STRIDE = 7;

    /** The heading of {@link #changeLines}. */
    static final String CHANGES_HEADER = "storm,listed,change,at_ms,pairs,never,p50_ms,p99_ms,most_ms";

    private final ScaleScenario scenario;
    private final Site site;
    private final ServeCommand command;
    private final Path scratch;
    private final EdgeConfig config;
    private final PrintWriter words;
    private final Supplier<ControlPlane> planes;
    private final List<StormRow> rows = new ArrayList<>();
    private final List<String> changeLines = new ArrayList<>();
    private final List<Fleet.Change> changes = new ArrayList<>();
    /** How long settings took until they were in force at each sidecar. */
    private List<Double> settingsMs = List.of();

    private final double mostWaitMs;
    private Fleet fleet;
    /** A real sidecar's cost while nothing happens. */
    private Fleet.Spent quiet;

    StormRun(
            ScaleScenario scenario,
            ServeCommand command,
            Path scratch,
            EdgeConfig config,
            PrintWriter words,
            Supplier<ControlPlane> planes) {
        this.scenario = scenario;
        this.site = scenario.site();
        this.command = command;
        this.scratch = scratch;
        this.config = config;
        this.words = words;
        this.planes = planes;
        mostWaitMs = WAIT_TIMES * scenario.targets().inForceMs();
    }

    /** Each change of each storm, as lines of CSV. */
    List<String> changeLines() {
        return changeLines;
    }

    /** What storms have come to so far. */
    List<StormRow> rows() {
        return rows;
    }

    void run() throws IOException, InterruptedException {
        for (Listed listed : Listed.values()) {
            List<Storm> storms = scenario.storms().stream()
                    .filter(storm -> storm.listed() == listed)
                    .toList();
            if (!storms.isEmpty()) {
                try (Fleet opened = new Fleet(scenario, listed, planes.get(), config)) {
                    fleet = opened;
                    prepare(listed);
                    for (Storm storm : storms) {
                        play(storm);
                    }
                }
            }
        }
    }

    private void prepare(Listed listed) throws IOException, InterruptedException {
        fleet.open(scenario.sidecars().real(), command, scratch);
        say(
                "storms: %d hollow and %d real sidecars stand, each told of %s",
                fleet.hollow().sidecars().size(), fleet.real().size(), word(listed));
        pour(HEAT_PER_S, scenario.sidecars().warmUpMs());
        fleet.awaitKnowing(mostWaitMs);
        Churn.rest(QUIET_MS);
        Fleet.Began idle = fleet.begin();
        Churn.rest(scenario.sidecars().idleMs());
        quiet = fleet.spent(idle);
        say(
                "storms: while nothing happens a real sidecar takes %.2f %% of a core and %.0f bytes a second",
                quiet.corePercent(), quiet.bytesPerS());
    }

    private void say(String format, Object... values) {
        words.printf(Locale.ROOT, format + "%n", values);
        words.flush();
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private void play(Storm storm) throws IOException, InterruptedException {
        Churn.rest(QUIET_MS);
        changes.clear();
        settingsMs = List.of();
        long wholeLists = fleet.hollow().wholeLists();
        Fleet.Began began = fleet.begin();
        String notCarried = happen(storm);
        settle();
        Churn.rest(AFTER_MS);
        StormRow row = row(storm, fleet.spent(began), fleet.hollow().wholeLists() - wholeLists, notCarried);
        rows.add(row);
        changeLines(storm, began.atNanos());
        say(
                "storms: %s, %s listed: %s; in force after %.0f ms (p50), %.0f (p99), %.0f (most), real %.0f; a "
                        + "real sidecar %.2f %% of a core, %.0f B/s%s",
                row.name(),
                word(storm.listed()),
                row.verdict().word(),
                row.p50Ms(),
                row.p99Ms(),
                row.mostMs(),
                row.realMostMs(),
                row.realCpuPercent(),
                row.realBytesPerS(),
                row.note().isEmpty() ? "" : "; " + row.note());
    }

    // ---- what happens ----

    /** Lets a storm happen; why it is not carried, or empty. */
    private String happen(Storm storm) throws IOException, InterruptedException {
        switch (storm.kind()) {
            case CHANGE, DAY -> pour(storm.changes() * S_MS / storm.lengthMs(), storm.lengthMs());
            case RELEASE -> release(storm);
            case MACHINE -> lose(1, storm);
            case RACK -> lose(site.rack(), storm);
            case ZONE -> lose(site.zoneSize(), storm);
            case REGION -> lose(site.regionSize(), storm);
            case CONTROL_DOWN, CONTROL_RESTART -> away(storm);
            case NODE_LOST -> {
                return nodeLost();
            }
            case REGIONS_CUT -> {
                return cut(storm);
            }
            case SETTINGS -> {
                return settings();
            }
            default -> throw new IllegalStateException("no such storm: " + storm.kind());
        }
        return "";
    }

    /** Changes of one endpoint each, at an even rate. */
    private void pour(double perSecond, double lengthMs) throws InterruptedException {
        Churn.run(
                perSecond,
                lengthMs,
                number ->
                        changes.add(fleet.apply(0, fleet.again(List.of((int) (number * STRIDE % site.endpoints()))))));
    }

    /** One service's endpoints leave one after another, and each is replaced at the next step. */
    private void release(Storm storm) throws InterruptedException {
        List<Integer> members = IntStream.range(0, site.endpoints())
                .filter(i -> site.service(i) == 1)
                .boxed()
                .toList();
        int steps = 2 * members.size();
        Churn.run(steps * S_MS / storm.lengthMs(), storm.lengthMs(), number -> {
            int member = members.get((int) (number / 2 % members.size()));
            EndpointEntry line = fleet.line(member);
            changes.add(fleet.apply(
                    0,
                    number % 2 == 0
                            ? fleet.now(Map.of(member, line.with(EndpointEntry.State.TERMINATING)))
                            : fleet.replaced(member, site.successor(member, 1 + rows.size()))));
        });
    }

    /** So many endpoints and their sidecars are lost, and are back after the storm's length. */
    private void lose(int count, Storm storm) throws InterruptedException {
        List<Integer> lost = IntStream.range(site.endpoints() - count, site.endpoints())
                .boxed()
                .toList();
        changes.add(fleet.lose(lost));
        Churn.rest(storm.lengthMs());
        changes.add(fleet.back(lost));
    }

    /** A change that each sidecar must have, of one endpoint of each service. */
    private Fleet.Change ofEach(int node) {
        return fleet.apply(
                node, fleet.again(IntStream.range(0, site.services()).boxed().toList()));
    }

    /** Control is away for the storm's length; what changes meanwhile counts from when it is back. */
    private void away(Storm storm) throws InterruptedException {
        ControlPlane plane = fleet.plane();
        for (int i = 0; i < plane.nodes(); i++) {
            plane.stop(i);
        }
        Churn.rest(storm.lengthMs());
        boolean fromNothing = storm.kind() == ScaleScenario.Kind.CONTROL_RESTART;
        List<Fleet.Change> meanwhile = new ArrayList<>();
        if (!fromNothing) {
            meanwhile.add(ofEach(0));
            for (int i = 1; i < storm.changes(); i++) {
                meanwhile.add(fleet.apply(0, fleet.again(List.of(i * STRIDE % site.endpoints()))));
            }
        }
        long back = System.nanoTime();
        for (int i = 0; i < plane.nodes(); i++) {
            plane.start(i, fromNothing);
        }
        if (fromNothing) {
            // Versions begin anew: a change just after shows who is back.
            meanwhile.add(ofEach(0));
        }
        meanwhile.forEach(change -> changes.add(change.at(back)));
    }

    /** A node goes, and a change comes by another; where a way has one only, all are told another by hand. */
    private String nodeLost() throws InterruptedException {
        Optional<String> missing = fleet.plane().missing(ControlPlane.Ability.NODE_LOST);
        long lost = System.nanoTime();
        if (missing.isPresent()) {
            fleet.hollow().elsewhere();
            changes.add(ofEach(0).at(lost));
            return missing.get();
        }
        fleet.plane().stop(0);
        changes.add(ofEach(fleet.plane().nodes() - 1).at(lost));
        settle();
        fleet.plane().start(0, true);
        return "";
    }

    /** The first region hears nothing of the others for the storm's length; things change on both sides. */
    private String cut(Storm storm) throws InterruptedException {
        Optional<String> missing = fleet.plane().missing(ControlPlane.Ability.REGIONS_CUT);
        if (missing.isPresent()) {
            return missing.get();
        }
        List<Integer> near = fleet.nodes(0);
        List<Integer> far = IntStream.range(0, fleet.plane().nodes())
                .filter(node -> !near.contains(node))
                .boxed()
                .toList();
        near.forEach(one -> far.forEach(other -> fleet.plane().cut(one, other, true)));
        List<Fleet.Change> meanwhile = new ArrayList<>();
        Churn.run(storm.changes() * S_MS / storm.lengthMs(), storm.lengthMs(), number -> {
            int region = (int) (number % 2);
            int endpoint = region == 0
                    ? (int) number % site.regionSize()
                    : site.endpoints() - 1 - (int) number % site.regionSize();
            meanwhile.add(fleet.apply(region == 0 ? near.get(0) : far.get(0), fleet.again(List.of(endpoint)))
                    .in(region == 0 ? 0 : site.regions() - 1, 0));
        });
        long healed = System.nanoTime();
        near.forEach(one -> far.forEach(other -> fleet.plane().cut(one, other, false)));
        meanwhile.forEach(change -> changes.add(change.in(change.region(), healed)));
        return "";
    }

    private String settings() throws IOException, InterruptedException {
        Optional<String> missing = fleet.plane().missing(ControlPlane.Ability.SETTINGS);
        if (missing.isEmpty()) {
            settingsMs = fleet.plane().settings(0, mostWaitMs);
            return "";
        }
        double most = 0;
        for (RealSidecar sidecar : fleet.real()) {
            most = Math.max(most, sidecar.reload((long) mostWaitMs));
        }
        return missing.get()
                + String.format(
                        Locale.ROOT,
                        "; %d real ones were told by hand, one after " + "another, and said so after %.0f ms at most",
                        fleet.real().size(),
                        most);
    }

    // ---- what came of it ----

    /** Waits until all have all, or long enough. */
    private void settle() throws InterruptedException {
        long until = System.nanoTime() + (long) (mostWaitMs * 1e6);
        fleet.awaitKnowing(mostWaitMs);
        int done = 0;
        while (done < changes.size() && System.nanoTime() < until) {
            fleet.hear();
            // All that is before the first that is not in force has been looked at.
            while (done < changes.size() && isEverywhere(changes.get(done))) {
                done++;
            }
            if (done < changes.size()) {
                Churn.rest(LOOK_MS);
            }
        }
    }

    private boolean isEverywhere(Fleet.Change change) {
        return fleet.hollowMs(change).stream().noneMatch(ms -> ms.isNaN())
                && fleet.realMs(change).stream().noneMatch(ms -> ms.isNaN());
    }

    private StormRow row(Storm storm, Fleet.Spent spent, long wholeLists, String notCarried) throws IOException {
        fleet.hear();
        PropagationTimes all = new PropagationTimes();
        PropagationTimes reals = new PropagationTimes();
        all.add(settingsMs);
        for (Fleet.Change change : changes) {
            all.add(fleet.hollowMs(change));
            reals.add(fleet.realMs(change));
        }
        ControlPlane.Cost control = fleet.control();
        HollowFleet.Load load = fleet.hollow().load();
        int hollow = fleet.hollow().sidecars().size();
        int knowing = fleet.knowing();
        String note = notCarried;
        StormRow.Verdict verdict = StormRow.Verdict.NOT_CARRIED;
        if (notCarried.isEmpty()) {
            note = Bottleneck.why(
                    spent.lengthMs(),
                    control,
                    load.lagP99Ms(),
                    load.mostCpuMs(),
                    scenario.targets().inForceMs());
            verdict = StormRow.Verdict.VOID;
            if (note.isEmpty()) {
                note = missed(
                        all,
                        reals,
                        knowing < hollow,
                        spent.over(
                                storm.kind() == ScaleScenario.Kind.DAY
                                        ? DAY_MS * storm.changes() / CHANGES_A_DAY
                                        : JUDGED_MS,
                                quiet));
                verdict = note.isEmpty() ? StormRow.Verdict.MET : StormRow.Verdict.MISSED;
                String late =
                        Bottleneck.whyLate(load.lagMostMs(), scenario.targets().inForceMs());
                if (all.percentileMs(1) > scenario.targets().inForceMs() && !late.isEmpty()) {
                    note = late + "; " + note;
                    verdict = StormRow.Verdict.VOID;
                }
            }
        }
        return new StormRow(
                storm,
                hollow + fleet.real().size(),
                changes.size(),
                spent.lengthMs(),
                all.pairs(),
                all.never(),
                all.percentileMs(0.5),
                all.percentileMs(0.99),
                all.percentileMs(1),
                all.lastPercentileMs(0.5),
                reals.percentileMs(1),
                knowing,
                hollow,
                (int) wholeLists,
                100 * control.cpuMs() / spent.lengthMs(),
                control.bytes() / spent.lengthMs() * S_MS,
                control.peakBytesPerS(),
                load.cpuMs() / hollow,
                spent.corePercent(),
                spent.bytesPerS(),
                spent.peakBytesPerS(),
                fleet.residentMb(),
                control.lagP99Ms(),
                load.lagP99Ms(),
                verdict,
                note);
    }

    private String missed(PropagationTimes all, PropagationTimes reals, boolean unknowing, Fleet.Spent spent) {
        ScaleScenario.Targets targets = scenario.targets();
        List<String> missed = new ArrayList<>();
        if (all.never() + reals.never() > 0) {
            missed.add(all.never() + reals.never() + " were never in force");
        }
        double most = Math.max(all.percentileMs(1), reals.pairs() == reals.never() ? 0 : reals.percentileMs(1));
        if (most > targets.inForceMs()) {
            missed.add(String.format(Locale.ROOT, "in force after %.0f ms", most));
        }
        if (unknowing) {
            missed.add("some have another list than control");
        }
        if (spent.corePercent() > targets.corePercent()) {
            missed.add(String.format(Locale.ROOT, "%.2f %% of a core a sidecar", spent.corePercent()));
        }
        if (spent.bytesPerS() > targets.kilobytesPerS() * S_MS) {
            missed.add(String.format(Locale.ROOT, "%.1f KB a second a sidecar", spent.bytesPerS() / S_MS));
        }
        return String.join("; ", missed);
    }

    private void changeLines(Storm storm, long began) {
        for (int i = 0; i < changes.size(); i++) {
            PropagationTimes one = new PropagationTimes();
            one.add(fleet.hollowMs(changes.get(i)));
            changeLines.add(String.format(
                    Locale.ROOT,
                    "%s,%s,%d,%.1f,%d,%d,%.2f,%.2f,%.2f",
                    word(storm.kind()),
                    word(storm.listed()),
                    i,
                    (changes.get(i).applied().atNanos() - began) / 1e6,
                    one.pairs(),
                    one.never(),
                    one.percentileMs(0.5),
                    one.percentileMs(0.99),
                    one.percentileMs(1)));
        }
    }
}
