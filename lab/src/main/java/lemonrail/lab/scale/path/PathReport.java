package lemonrail.lab.scale.path;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import lemonrail.lab.host.ProcessUsage.Kind;
import lemonrail.lab.report.Charts;
import lemonrail.lab.scale.LinearFit;
import lemonrail.lab.scale.path.PathRow.Part;
import lemonrail.lab.scale.path.PathRow.Way;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** What came of a run of the data path: the table, the raw data, the charts and the verdict. */
public final class PathReport {

    private final List<PathRow> rows = new ArrayList<>();
    private final Consumer<String> progress;

    /** A report that says each row as it comes. */
    public PathReport(Consumer<String> progress) {
        this.progress = progress;
        progress.accept(PathRow.HEADER);
    }

    /** Takes in a measurement. */
    void add(PathRow row) {
        rows.add(row);
        progress.accept(row.csv());
    }

    List<PathRow> rows() {
        return rows;
    }

    /** Rounds together; void ones are left out unless there are no others. */
    private List<PathRow> merged(Predicate<PathRow> which) {
        Map<List<Integer>, List<PathRow>> kinds = new LinkedHashMap<>();
        rows.stream()
                .filter(which)
                .forEach(row -> kinds.computeIfAbsent(
                                List.of(
                                        row.way().ordinal(),
                                        row.step(),
                                        row.endpoints(),
                                        row.connections(),
                                        row.batch(),
                                        row.rate()),
                                key -> new ArrayList<>())
                        .add(row));
        return kinds.values().stream()
                .map(all -> {
                    List<PathRow> good =
                            all.stream().filter(row -> !row.isVoid()).toList();
                    return PathRow.merged(good.isEmpty() ? all : good);
                })
                .toList();
    }

    /** The three ways, rate by rate. */
    List<PathVerdict.Compared> compared() {
        Map<Integer, PathRow[]> rates = new LinkedHashMap<>();
        for (PathRow row : merged(row -> row.part() == Part.SIDE_BY_SIDE)) {
            rates.computeIfAbsent(row.rate(), rate -> new PathRow[Way.values().length])[
                    row.way().ordinal()] = row;
        }
        List<PathVerdict.Compared> all = new ArrayList<>();
        rates.forEach((rate, ways) -> {
            if (ways[0] != null && ways[1] != null && ways[2] != null) {
                all.add(new PathVerdict.Compared(rate, ways[0], ways[1], ways[2]));
            }
        });
        return all;
    }

    private List<PathRow> steps(Way way) {
        return merged(row -> row.part() == Part.CHAIN && row.way() == way && row.step() > 0);
    }

    /** Whether the target is met. */
    PathVerdict verdict() {
        return PathVerdict.of(compared(), steps(Way.SIDECAR));
    }

    /** Whether the target is met, and no row that this needs is void. */
    public boolean isMet() {
        return verdict().isMet();
    }

    /** Writes {@code path.md}, {@code path.csv} and the charts. */
    public void keep(Path folder, String version) throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder(PathRow.HEADER).append('\n');
        rows.forEach(row -> csv.append(row.csv()).append('\n'));
        Files.writeString(folder.resolve("path.csv"), csv);
        Files.writeString(folder.resolve("path.md"), page(version));
        charts(new Charts(folder));
    }

    // ---- the page ----

    private String page(String version) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "# What a sidecar adds to a call"
                        + "%n%nVersion %s; %s, %d cores, Java %s. Load over a minute %.1f to %.1f; %d measurements, %d "
                        + "void.%n%n",
                version,
                System.getProperty("os.arch"),
                Runtime.getRuntime().availableProcessors(),
                System.getProperty("java.version"),
                rows.stream().mapToDouble(PathRow::load).min().orElse(0),
                rows.stream().mapToDouble(PathRow::load).max().orElse(0),
                rows.size(),
                rows.stream().filter(PathRow::isVoid).count()));
        PathVerdict verdict = verdict();
        text.append(
                        verdict.isMet()
                                ? "**Target met.**"
                                : !verdict.whole()
                                        ? "**Nothing shown: rows are void or missing.**"
                                        : "**Target missed.**")
                .append('\n');
        verdict.missed().forEach(miss -> text.append("- ").append(miss).append('\n'));
        added(text);
        side(text);
        fits(text);
        chain(text);
        for (Part part : List.of(Part.RATE, Part.BATCH, Part.ENDPOINTS, Part.CONNECTIONS, Part.RAMP)) {
            text.append("\n## By ")
                    .append(
                            switch (part) {
                                case RATE -> "calls a second";
                                case BATCH -> "calls that come at once";
                                case ENDPOINTS -> "endpoints listed";
                                case RAMP -> "calls a second, up to the first rate that is not kept";
                                default -> "client connections in use";
                            })
                    .append("\n\n");
            table(text, merged(row -> row.part() == part));
        }
        text.append("\n![processor time](path-cpu.svg)\n\n![chain](path-chain.svg)\n");
        return text.toString();
    }

    private void added(StringBuilder text) {
        text.append("\n## Added to a call, ms (less a direct call in the same run)\n\n"
                        + "| calls/s | by | p50 | p99 | p99.9 | p99 by round |\n|")
                .append(" --- |".repeat(6))
                .append('\n');
        for (PathVerdict.Compared rate : compared()) {
            String isVoid = rate.isVoid() ? " (void)" : "";
            text.append(String.format(
                    Locale.ROOT,
                    "| %d | relay%s | %.3f | %.3f | %.3f | %s |%n",
                    rate.rate(),
                    isVoid,
                    rate.relayAddsMs(50),
                    rate.relayAddsMs(99),
                    rate.relayAddsMs(99.9),
                    byRound(rate.rate(), Way.RELAY)));
            text.append(String.format(
                    Locale.ROOT,
                    "| %d | sidecar%s | %.3f | %.3f | %.3f | %s |%n",
                    rate.rate(),
                    isVoid,
                    rate.addedMs(50),
                    rate.addedMs(99),
                    rate.addedMs(99.9),
                    byRound(rate.rate(), Way.SIDECAR)));
        }
    }

    /** What a way added at p99 in each round, void ones in brackets. */
    private String byRound(int rate, Way way) {
        StringBuilder text = new StringBuilder();
        rows.stream()
                .filter(row -> row.part() == Part.SIDE_BY_SIDE && row.rate() == rate && row.way() == way)
                .forEach(row -> rows.stream()
                        .filter(other -> other.part() == Part.SIDE_BY_SIDE
                                && other.rate() == rate
                                && other.way() == Way.DIRECT
                                && other.round() == row.round())
                        .findFirst()
                        .ifPresent(direct -> text.append(text.length() > 0 ? ", " : "")
                                .append(String.format(
                                        Locale.ROOT,
                                        row.isVoid() || direct.isVoid() ? "(%.3f)" : "%.3f",
                                        row.ms(99) - direct.ms(99)))));
        return text.toString();
    }

    private void side(StringBuilder text) {
        text.append("\n## Side by side\n\n");
        table(text, merged(row -> row.part() == Part.SIDE_BY_SIDE));
    }

    private static void table(StringBuilder text, List<PathRow> shown) {
        text.append("| way | endpoints | connections | at once | calls/s | served of sent | p50, ms | "
                        + "p99, ms "
                        + "| p99.9, ms | CPU, µs a call | of it loop | compiler | VM | no core, µs a call "
                        + "| wakeups a call | % of a core | memory, MB |\n|")
                .append(" --- |".repeat(17))
                .append('\n');
        for (PathRow row : shown) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s%s | %d | %d | %d | %d | %d of %d | %s | %s | %s "
                            + "| %s | %s | %s | %s | %s | %s | %s | %s |%n",
                    row.way().name().toLowerCase(Locale.ROOT),
                    row.isVoid() ? " (void)" : "",
                    row.endpoints(),
                    row.connections(),
                    row.batch(),
                    row.rate(),
                    row.served(),
                    row.sent(),
                    PathRow.number(row.ms(50), 3),
                    PathRow.number(row.ms(99), 3),
                    PathRow.number(row.ms(99.9), 3),
                    PathRow.number(row.cpuUs(), 0),
                    PathRow.number(row.cpuUs(Kind.LOOP), 0),
                    PathRow.number(row.cpuUs(Kind.COMPILER), 1),
                    PathRow.number(row.cpuUs(Kind.VM), 1),
                    PathRow.number(row.noCoreUs(), 1),
                    PathRow.number(row.wakeups(), 1),
                    PathRow.number(row.cpuPercent(), 2),
                    PathRow.number(row.usage().residentMb(), 0)));
        }
    }

    private void fits(StringBuilder text) {
        text.append("\n## Slopes\n\n| what | slope | at 0 | r² | points |\n|")
                .append(" --- |".repeat(5))
                .append('\n');
        fit(
                text,
                "CPU of a relay, ms a second, for each call a second",
                Part.RATE,
                Way.RELAY,
                PathRow::realRate,
                row -> row.cpuPercent() * 10);
        fit(
                text,
                "CPU of a sidecar, ms a second, for each call a second",
                Part.RATE,
                Way.SIDECAR,
                PathRow::realRate,
                row -> row.cpuPercent() * 10);
        for (Part part : List.of(Part.ENDPOINTS, Part.CONNECTIONS)) {
            ToDoubleFunction<PathRow> at = part == Part.ENDPOINTS ? PathRow::endpoints : PathRow::connections;
            String each = part == Part.ENDPOINTS ? "1,000 endpoints listed" : "1,000 connections";
            ToDoubleFunction<PathRow> x = row -> at.applyAsDouble(row) / 1000;
            fit(text, "CPU, µs a call, for each " + each, part, Way.SIDECAR, x, PathRow::cpuUs);
            fit(text, "time to an answer at p50, µs, for each " + each, part, Way.SIDECAR, x, row -> row.ms(50) * 1000);
            fit(text, "time to an answer at p99, µs, for each " + each, part, Way.SIDECAR, x, row -> row.ms(99) * 1000);
            fit(
                    text,
                    "memory, MB, for each " + each,
                    part,
                    Way.SIDECAR,
                    x,
                    row -> row.usage().residentMb());
        }
    }

    private void fit(
            StringBuilder text,
            String what,
            Part part,
            Way way,
            ToDoubleFunction<PathRow> x,
            ToDoubleFunction<PathRow> y) {
        LinearFit fit = LinearFit.through(merged(row -> row.part() == part && row.way() == way).stream()
                .map(row -> new LinearFit.Point(x.applyAsDouble(row), y.applyAsDouble(row)))
                .toList());
        text.append(String.format(
                Locale.ROOT,
                "| %s | %.4f | %.2f | %.3f | %d |%n",
                what,
                fit.slope(),
                fit.intercept(),
                fit.rSquared(),
                fit.points()));
    }

    private void chain(StringBuilder text) {
        List<PathRow> direct = steps(Way.DIRECT);
        List<PathRow> steps = steps(Way.SIDECAR);
        text.append("\n## A chain, ")
                .append(steps.size())
                .append(" deep\n\nWhole calls are from when they "
                        + "were due; a step is what the way to the next service and back added to each single call.\n\n"
                        + "| what | by | p50, ms | p99, ms | p99.9, ms | CPU, µs a call | no core, µs a call |\n|")
                .append(" --- |".repeat(7))
                .append('\n');
        merged(row -> row.part() == Part.CHAIN && row.step() == 0).forEach(row -> step(text, "whole", row));
        direct.forEach(row -> step(text, "step " + row.step(), row));
        steps.forEach(row -> step(text, "step " + row.step(), row));
    }

    private static void step(StringBuilder text, String what, PathRow row) {
        text.append(String.format(
                Locale.ROOT,
                "| %s%s | %s | %s | %s | %s | %s | %s |%n",
                what,
                row.isVoid() ? " (void)" : "",
                row.way().name().toLowerCase(Locale.ROOT),
                PathRow.number(row.ms(50), 3),
                PathRow.number(row.ms(99), 3),
                PathRow.number(row.ms(99.9), 3),
                PathRow.number(row.cpuUs(), 0),
                PathRow.number(row.noCoreUs(), 1)));
    }

    private void charts(Charts charts) throws IOException {
        XYSeriesCollection cpu = new XYSeriesCollection();
        for (Way way : List.of(Way.RELAY, Way.SIDECAR)) {
            XYSeries line = new XYSeries(way.name().toLowerCase(Locale.ROOT));
            merged(row -> row.part() == Part.RATE && row.way() == way && row.rate() > 0)
                    .forEach(row -> line.add(row.rate(), row.cpuUs()));
            cpu.addSeries(line);
        }
        charts.writeLineChart(
                "path-cpu",
                "Processor time for each call, by calls a second",
                "calls a second",
                "µs",
                cpu,
                true,
                false);
        XYSeriesCollection chain = new XYSeriesCollection();
        for (double percentile : new double[] {50, 99, 99.9}) {
            XYSeries line = new XYSeries("p"
                    + (percentile == Math.rint(percentile)
                            ? String.valueOf((int) percentile)
                            : String.valueOf(percentile)));
            steps(Way.SIDECAR).forEach(row -> line.add(row.step(), row.ms(percentile)));
            chain.addSeries(line);
        }
        charts.writeLineChart("path-chain", "Added by each step of a chain", "step", "ms", chain, false, false);
    }
}
