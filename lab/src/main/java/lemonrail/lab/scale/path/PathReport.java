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
import lemonrail.lab.scale.path.PathRow.Experiment;
import lemonrail.lab.scale.path.PathRow.RouteType;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** The results of a run of the data path: the table, the raw data, the charts and the verdict. */
public final class PathReport {

    private final List<PathRow> rows = new ArrayList<>();
    private final Consumer<String> progress;

    /**
     * Creates a report.
     *
     * @param progress receives the CSV header, and then each row as it is added
     */
    public PathReport(Consumer<String> progress) {
        this.progress = progress;
        progress.accept(PathRow.CSV_HEADER);
    }

    /** Adds a measurement. */
    void add(PathRow row) {
        rows.add(row);
        progress.accept(row.toCsv());
    }

    List<PathRow> rows() {
        return rows;
    }

    /**
     * Returns the rows that match, with the rounds of each measurement merged. Void rounds are left out unless
     * there are no others.
     */
    private List<PathRow> mergeRounds(Predicate<PathRow> filter) {
        Map<List<Integer>, List<PathRow>> groups = new LinkedHashMap<>();
        rows.stream()
                .filter(filter)
                .forEach(row -> groups.computeIfAbsent(
                                List.of(
                                        row.routeType().ordinal(),
                                        row.step(),
                                        row.endpoints(),
                                        row.connections(),
                                        row.batch(),
                                        row.rate()),
                                key -> new ArrayList<>())
                        .add(row));
        return groups.values().stream()
                .map(rounds -> {
                    List<PathRow> valid =
                            rounds.stream().filter(row -> !row.isVoid()).toList();
                    return PathRow.mergeRounds(valid.isEmpty() ? rounds : valid);
                })
                .toList();
    }

    /** Returns the measurements of the three route types for each rate. */
    List<PathVerdict.Comparison> compareRoutes() {
        Map<Integer, PathRow[]> rates = new LinkedHashMap<>();
        for (PathRow row : mergeRounds(row -> row.experiment() == Experiment.SIDE_BY_SIDE)) {
            rates.computeIfAbsent(row.rate(), rate -> new PathRow[RouteType.values().length])[
                    row.routeType().ordinal()] = row;
        }
        List<PathVerdict.Comparison> comparisons = new ArrayList<>();
        rates.forEach((rate, routes) -> {
            if (routes[0] != null && routes[1] != null && routes[2] != null) {
                comparisons.add(new PathVerdict.Comparison(rate, routes[0], routes[1], routes[2]));
            }
        });
        return comparisons;
    }

    private List<PathRow> mergedSteps(RouteType routeType) {
        return mergeRounds(
                row -> row.experiment() == Experiment.CHAIN && row.routeType() == routeType && row.step() > 0);
    }

    /** Returns whether the target is met. */
    PathVerdict judge() {
        return PathVerdict.of(compareRoutes(), mergedSteps(RouteType.SIDECAR));
    }

    /** Returns whether the target is met and no row needed for this is void. */
    public boolean isMet() {
        return judge().isMet();
    }

    /** Writes {@code path.md}, {@code path.csv} and the charts. */
    public void write(Path folder, String version) throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder(PathRow.CSV_HEADER).append('\n');
        rows.forEach(row -> csv.append(row.toCsv()).append('\n'));
        Files.writeString(folder.resolve("path.csv"), csv);
        Files.writeString(folder.resolve("path.md"), createPage(version));
        writeCharts(new Charts(folder));
    }

    // ---- the page ----

    private String createPage(String version) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "# What a sidecar adds to a call"
                        + "%n%nVersion %s; %s, %d cores, Java %s. Load average %.1f to %.1f; %d measurements, %d "
                        + "void.%n%n",
                version,
                System.getProperty("os.arch"),
                Runtime.getRuntime().availableProcessors(),
                System.getProperty("java.version"),
                rows.stream().mapToDouble(PathRow::load).min().orElse(0),
                rows.stream().mapToDouble(PathRow::load).max().orElse(0),
                rows.size(),
                rows.stream().filter(PathRow::isVoid).count()));
        PathVerdict verdict = judge();
        text.append(
                        verdict.isMet()
                                ? "**Target met.**"
                                : !verdict.isComplete()
                                        ? "**No result: rows are void or missing.**"
                                        : "**Target missed.**")
                .append('\n');
        verdict.missedTargets()
                .forEach(target -> text.append("- ").append(target).append('\n'));
        appendAddedLatency(text);
        appendSideBySide(text);
        appendSlopes(text);
        appendChain(text);
        for (Experiment experiment : List.of(
                Experiment.RATE, Experiment.BATCH, Experiment.ENDPOINTS, Experiment.CONNECTIONS, Experiment.RAMP)) {
            text.append("\n## By ")
                    .append(
                            switch (experiment) {
                                case RATE -> "calls per second";
                                case BATCH -> "calls that arrive at the same moment";
                                case ENDPOINTS -> "endpoints listed";
                                case RAMP -> "calls per second, up to the first rate that is not sustained";
                                default -> "client connections in use";
                            })
                    .append("\n\n");
            appendTable(text, mergeRounds(row -> row.experiment() == experiment));
        }
        text.append("\n![processor time](path-cpu.svg)\n\n![chain](path-chain.svg)\n");
        return text.toString();
    }

    private void appendAddedLatency(StringBuilder text) {
        text.append("\n## Latency added to a call, ms (compared with a direct call in the same run)\n\n"
                        + "| calls/s | route | p50 | p99 | p99.9 | p99 by round |\n|")
                .append(" --- |".repeat(6))
                .append('\n');
        for (PathVerdict.Comparison comparison : compareRoutes()) {
            String voidMark = comparison.isVoid() ? " (void)" : "";
            text.append(String.format(
                    Locale.ROOT,
                    "| %d | relay%s | %.3f | %.3f | %.3f | %s |%n",
                    comparison.rate(),
                    voidMark,
                    comparison.addedByRelayMs(50),
                    comparison.addedByRelayMs(99),
                    comparison.addedByRelayMs(99.9),
                    formatAddedByRound(comparison.rate(), RouteType.RELAY)));
            text.append(String.format(
                    Locale.ROOT,
                    "| %d | sidecar%s | %.3f | %.3f | %.3f | %s |%n",
                    comparison.rate(),
                    voidMark,
                    comparison.addedMs(50),
                    comparison.addedMs(99),
                    comparison.addedMs(99.9),
                    formatAddedByRound(comparison.rate(), RouteType.SIDECAR)));
        }
    }

    /** Returns the latency that a route type added at p99 in each round, with void rounds in parentheses. */
    private String formatAddedByRound(int rate, RouteType routeType) {
        StringBuilder text = new StringBuilder();
        rows.stream()
                .filter(row -> row.experiment() == Experiment.SIDE_BY_SIDE
                        && row.rate() == rate
                        && row.routeType() == routeType)
                .forEach(row -> rows.stream()
                        .filter(other -> other.experiment() == Experiment.SIDE_BY_SIDE
                                && other.rate() == rate
                                && other.routeType() == RouteType.DIRECT
                                && other.round() == row.round())
                        .findFirst()
                        .ifPresent(direct -> text.append(text.length() > 0 ? ", " : "")
                                .append(String.format(
                                        Locale.ROOT,
                                        row.isVoid() || direct.isVoid() ? "(%.3f)" : "%.3f",
                                        row.latencyMs(99) - direct.latencyMs(99)))));
        return text.toString();
    }

    private void appendSideBySide(StringBuilder text) {
        text.append("\n## Side by side\n\n");
        appendTable(text, mergeRounds(row -> row.experiment() == Experiment.SIDE_BY_SIDE));
    }

    private static void appendTable(StringBuilder text, List<PathRow> shownRows) {
        text.append("| route | endpoints | connections | batch | calls/s | served of sent | p50, ms | "
                        + "p99, ms "
                        + "| p99.9, ms | CPU, µs/call | of which loop | compiler | VM | no core, µs/call "
                        + "| wakeups per call | % of a core | memory, MB |\n|")
                .append(" --- |".repeat(17))
                .append('\n');
        for (PathRow row : shownRows) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s%s | %d | %d | %d | %d | %d of %d | %s | %s | %s "
                            + "| %s | %s | %s | %s | %s | %s | %s | %s |%n",
                    row.routeType().name().toLowerCase(Locale.ROOT),
                    row.isVoid() ? " (void)" : "",
                    row.endpoints(),
                    row.connections(),
                    row.batch(),
                    row.rate(),
                    row.served(),
                    row.sent(),
                    PathRow.formatOrBlank(row.latencyMs(50), 3),
                    PathRow.formatOrBlank(row.latencyMs(99), 3),
                    PathRow.formatOrBlank(row.latencyMs(99.9), 3),
                    PathRow.formatOrBlank(row.cpuUs(), 0),
                    PathRow.formatOrBlank(row.cpuUs(Kind.LOOP), 0),
                    PathRow.formatOrBlank(row.cpuUs(Kind.COMPILER), 1),
                    PathRow.formatOrBlank(row.cpuUs(Kind.VM), 1),
                    PathRow.formatOrBlank(row.noCoreUs(), 1),
                    PathRow.formatOrBlank(row.wakeups(), 1),
                    PathRow.formatOrBlank(row.cpuPercent(), 2),
                    PathRow.formatOrBlank(row.usage().residentMb(), 0)));
        }
    }

    private void appendSlopes(StringBuilder text) {
        text.append("\n## Slopes\n\n| what | slope | intercept | R² | points |\n|")
                .append(" --- |".repeat(5))
                .append('\n');
        appendSlope(
                text,
                "CPU of a relay, ms per second, for each call per second",
                Experiment.RATE,
                RouteType.RELAY,
                PathRow::actualRate,
                row -> row.cpuPercent() * 10);
        appendSlope(
                text,
                "CPU of a sidecar, ms per second, for each call per second",
                Experiment.RATE,
                RouteType.SIDECAR,
                PathRow::actualRate,
                row -> row.cpuPercent() * 10);
        for (Experiment experiment : List.of(Experiment.ENDPOINTS, Experiment.CONNECTIONS)) {
            ToDoubleFunction<PathRow> count =
                    experiment == Experiment.ENDPOINTS ? PathRow::endpoints : PathRow::connections;
            String unit = experiment == Experiment.ENDPOINTS ? "1,000 endpoints listed" : "1,000 connections";
            ToDoubleFunction<PathRow> x = row -> count.applyAsDouble(row) / 1000;
            appendSlope(text, "CPU, µs per call, for each " + unit, experiment, RouteType.SIDECAR, x, PathRow::cpuUs);
            appendSlope(
                    text,
                    "latency at p50, µs, for each " + unit,
                    experiment,
                    RouteType.SIDECAR,
                    x,
                    row -> row.latencyMs(50) * 1000);
            appendSlope(
                    text,
                    "latency at p99, µs, for each " + unit,
                    experiment,
                    RouteType.SIDECAR,
                    x,
                    row -> row.latencyMs(99) * 1000);
            appendSlope(
                    text,
                    "memory, MB, for each " + unit,
                    experiment,
                    RouteType.SIDECAR,
                    x,
                    row -> row.usage().residentMb());
        }
    }

    private void appendSlope(
            StringBuilder text,
            String what,
            Experiment experiment,
            RouteType routeType,
            ToDoubleFunction<PathRow> x,
            ToDoubleFunction<PathRow> y) {
        LinearFit fit = LinearFit.through(
                mergeRounds(row -> row.experiment() == experiment && row.routeType() == routeType).stream()
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

    private void appendChain(StringBuilder text) {
        List<PathRow> direct = mergedSteps(RouteType.DIRECT);
        List<PathRow> steps = mergedSteps(RouteType.SIDECAR);
        text.append("\n## A chain, ")
                .append(steps.size())
                .append(" sidecars deep\n\nThe time of a whole call counts from when it "
                        + "was due; a step is what the route to the next service and back added to it.\n\n"
                        + "| what | route | p50, ms | p99, ms | p99.9, ms | CPU, µs/call | no core, µs/call |\n|")
                .append(" --- |".repeat(7))
                .append('\n');
        mergeRounds(row -> row.experiment() == Experiment.CHAIN && row.step() == 0)
                .forEach(row -> appendStep(text, "whole", row));
        direct.forEach(row -> appendStep(text, "step " + row.step(), row));
        steps.forEach(row -> appendStep(text, "step " + row.step(), row));
    }

    private static void appendStep(StringBuilder text, String what, PathRow row) {
        text.append(String.format(
                Locale.ROOT,
                "| %s%s | %s | %s | %s | %s | %s | %s |%n",
                what,
                row.isVoid() ? " (void)" : "",
                row.routeType().name().toLowerCase(Locale.ROOT),
                PathRow.formatOrBlank(row.latencyMs(50), 3),
                PathRow.formatOrBlank(row.latencyMs(99), 3),
                PathRow.formatOrBlank(row.latencyMs(99.9), 3),
                PathRow.formatOrBlank(row.cpuUs(), 0),
                PathRow.formatOrBlank(row.noCoreUs(), 1)));
    }

    private void writeCharts(Charts charts) throws IOException {
        XYSeriesCollection cpu = new XYSeriesCollection();
        for (RouteType routeType : List.of(RouteType.RELAY, RouteType.SIDECAR)) {
            XYSeries series = new XYSeries(routeType.name().toLowerCase(Locale.ROOT));
            mergeRounds(row -> row.experiment() == Experiment.RATE && row.routeType() == routeType && row.rate() > 0)
                    .forEach(row -> series.add(row.rate(), row.cpuUs()));
            cpu.addSeries(series);
        }
        charts.writeLineChart(
                "path-cpu", "Processor time per call, by calls per second", "calls per second", "µs", cpu, true, false);
        XYSeriesCollection chain = new XYSeriesCollection();
        for (double percentile : new double[] {50, 99, 99.9}) {
            XYSeries series = new XYSeries("p"
                    + (percentile == Math.rint(percentile)
                            ? String.valueOf((int) percentile)
                            : String.valueOf(percentile)));
            mergedSteps(RouteType.SIDECAR).forEach(row -> series.add(row.step(), row.latencyMs(percentile)));
            chain.addSeries(series);
        }
        charts.writeLineChart("path-chain", "Latency added by each step of a chain", "step", "ms", chain, false, false);
    }
}
