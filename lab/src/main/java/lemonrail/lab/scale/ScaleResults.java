package lemonrail.lab.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import lemonrail.lab.report.Charts;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * The results of a scale run.
 *
 * @param tookMs the duration of the run
 * @param points the measured points of the slopes
 * @param rows the results of the storms
 * @param changes each change of each storm, as lines of CSV
 * @param abortReason why the run ended early, or empty if it was complete
 */
public record ScaleResults(
        ScaleScenario scenario,
        String version,
        double tookMs,
        List<Measurement> points,
        List<StormRow> rows,
        List<String> changes,
        String abortReason) {

    /** Returns whether all targets were met and no measurement was void. */
    public boolean passes() {
        return abortReason.isEmpty()
                && rows.stream().allMatch(row -> row.verdict() == StormRow.Verdict.MET)
                && points.stream().noneMatch(Measurement::isVoid)
                && missedTargets().isEmpty();
    }

    /** Returns a description of each target that the slopes' points miss. */
    public List<String> missedTargets() {
        List<String> missed = new ArrayList<>();
        ScaleScenario.Targets targets = scenario.targets();
        for (Measurement point : points) {
            // In daily operation there are next to no changes, so the targets apply to the cost without any.
            if (point.subject() == Measurement.Subject.SIDECAR
                    && point.changesPerS() == 0
                    && !point.isVoid()
                    && point.listSize() <= scenario.site().endpoints()) {
                if (point.corePercent() > targets.maxCorePercent()) {
                    missed.add(String.format(
                            Locale.ROOT,
                            "a sidecar with %d listed endpoints and no changes uses " + "%.2f %% " + "of a core",
                            point.listSize(),
                            point.corePercent()));
                }
                if (point.bytesPerS() > targets.maxKilobytesPerS() * 1000) {
                    missed.add(String.format(
                            Locale.ROOT,
                            "a sidecar with %d listed endpoints and no changes transfers " + "%.0f "
                                    + "bytes per second",
                            point.listSize(),
                            point.bytesPerS()));
                }
            }
        }
        double addedMb = addedMb();
        if (addedMb > targets.maxMemoryMb()) {
            missed.add(String.format(
                    Locale.ROOT,
                    "the list of %d endpoints adds %.1f MB to a sidecar",
                    scenario.site().endpoints(),
                    addedMb));
        }
        return missed;
    }

    /**
     * Returns the memory in MB that the site's list adds to a real sidecar, computed from the slope; NaN if there
     * is no such slope.
     */
    public double addedMb() {
        return Slope.of(points).stream()
                .filter(slope -> slope.name().startsWith("sidecar resident memory"))
                .mapToDouble(slope -> slope.fit().slope() * scenario.site().endpoints())
                .findFirst()
                .orElse(Double.NaN);
    }

    /** Writes the table, the raw data and the charts. */
    public void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.copy(scenario.file(), folder.resolve("scenario.toml"), StandardCopyOption.REPLACE_EXISTING);
        List<Slope> slopes = Slope.of(points);
        writeCsv(
                folder.resolve("points.csv"),
                Measurement.CSV_HEADER,
                points.stream().map(Measurement::toCsv).toList());
        writeCsv(
                folder.resolve("slopes.csv"),
                Slope.CSV_HEADER,
                slopes.stream().map(Slope::toCsv).toList());
        writeCsv(
                folder.resolve("storms.csv"),
                StormRow.CSV_HEADER,
                rows.stream().map(StormRow::toCsv).toList());
        writeCsv(folder.resolve("changes.csv"), StormRun.CHANGES_CSV_HEADER, changes);
        Files.writeString(folder.resolve("table.md"), table(slopes));
        writeCharts(new Charts(folder));
    }

    private static void writeCsv(Path file, String header, List<String> lines) throws IOException {
        Files.writeString(file, header + "\n" + String.join("\n", lines) + (lines.isEmpty() ? "" : "\n"));
    }

    /** Returns the table in Markdown. */
    public String table(List<Slope> slopes) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "# Scale: %s%n%n%s%n%nVersion %s; %s, %d "
                        + "cores, Java %s; %d sidecars, %d in processes of their own, %d services; took %.0f s. %s%n",
                scenario.name(),
                scenario.about(),
                version,
                System.getProperty("os.arch"),
                Runtime.getRuntime().availableProcessors(),
                System.getProperty("java.version"),
                scenario.site().endpoints(),
                scenario.sidecars().realCount(),
                scenario.site().services(),
                tookMs / 1000,
                passes() ? "All targets are met." : "**Not all targets are met.**"));
        if (!abortReason.isEmpty()) {
            text.append("\n**Ended early**: ").append(abortReason).append(".\n");
        }
        missedTargets().forEach(line -> text.append("\nMissed: ").append(line).append(".\n"));
        if (!rows.isEmpty()) {
            text.append(String.format(
                    Locale.ROOT,
                    "%n## Storms%n%nTargets: in force within %.0f ms; a real "
                            + "sidecar uses at "
                            + "most %.1f %% of a core and %.0f KB per second on average.%n%n",
                    scenario.targets().maxPropagationMs(),
                    scenario.targets().maxCorePercent(),
                    scenario.targets().maxKilobytesPerS()));
            text.append("| storm | listed | changes | in force, ms: p50 | p99 | max | real sidecars, max | "
                            + "up to date, hollow | full lists | control node: core | peak | real sidecar: core | "
                            + "mean | peak "
                            + "| hollow sidecar: CPU | lag p99: control, hollow | verdict |\n|")
                    .append(" --- |".repeat(17))
                    .append('\n');
            rows.forEach(row -> text.append(formatRow(row)));
        }
        if (!points.isEmpty()) {
            text.append("\n## Slopes\n\n| cost | as a function of | slope | intercept | R² | points | unit |\n|")
                    .append(" --- |".repeat(7))
                    .append('\n');
            slopes.forEach(slope -> text.append(String.format(
                    Locale.ROOT,
                    "| %s | %s | %.4g | %.4g | %.3f | %d | %s " + "|%n",
                    slope.name(),
                    slope.against(),
                    slope.fit().slope(),
                    slope.fit().intercept(),
                    slope.fit().rSquared(),
                    slope.fit().points(),
                    slope.unit())));
            text.append("\n## Points\n\n| subject | listed | watchers | changes/s | core | bytes/s | "
                            + "resident, MB | "
                            + "proportional, MB | void |\n|")
                    .append(" --- |".repeat(9))
                    .append('\n');
            points.forEach(point -> text.append(String.format(
                    Locale.ROOT,
                    "| %s | %d | %s | %.0f | %.2f %% | %.0f | " + "%s | %s | %s |%n",
                    point.subject().name().toLowerCase(Locale.ROOT),
                    point.listSize(),
                    point.watchers() == 0 ? "" : point.watchers(),
                    point.changesPerS(),
                    point.corePercent(),
                    point.bytesPerS(),
                    formatOrBlank(point.residentMb(), 1),
                    formatOrBlank(point.proportionalMb(), 1),
                    point.isVoid() ? "void" : "")));
        }
        return text.toString();
    }

    private static String formatRow(StormRow row) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %s | %s | %s | %s | %d of %d | %d | %.1f %% "
                        + "| %s | %s %% "
                        + "| %s | %s | %.0f ms | %.0f, %.0f ms | %s%s |%n",
                row.name(),
                row.storm().scope().name().toLowerCase(Locale.ROOT),
                row.changes(),
                formatOrBlank(row.p50Ms(), 0),
                formatOrBlank(row.p99Ms(), 0),
                row.neverApplied() > 0 ? "not applied (" + row.neverApplied() + ")" : formatOrBlank(row.maxMs(), 0),
                formatOrBlank(row.realMaxMs(), 0),
                row.upToDateCount(),
                row.hollowCount(),
                row.fullListCount(),
                row.controlCpuPercent(),
                formatRate((double) row.controlPeakBytesPerS()),
                formatOrBlank(row.realCpuPercent(), 2),
                formatRate(row.realBytesPerS()),
                formatRate((double) row.realPeakBytesPerS()),
                row.hollowCpuMs(),
                row.controlLagMs(),
                row.hollowLagMs(),
                row.verdict().label(),
                row.note().isEmpty() ? "" : ": " + row.note());
    }

    private static String formatRate(double bytesPerS) {
        return Double.isNaN(bytesPerS)
                ? ""
                : bytesPerS >= 1e6
                        ? String.format(Locale.ROOT, "%.1f MB/s", bytesPerS / 1e6)
                        : String.format(Locale.ROOT, "%.1f KB/s", bytesPerS / 1e3);
    }

    private static String formatOrBlank(double value, int decimals) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%." + decimals + "f", value);
    }

    // ---- charts ----

    private void writeCharts(Charts charts) throws IOException {
        if (!points.isEmpty()) {
            writeChart(
                    charts,
                    "sidecar-processor",
                    "Processor time of a real sidecar",
                    "changes per second",
                    "percent of a core",
                    point -> point.subject() == Measurement.Subject.SIDECAR,
                    point -> point.listSize() + " endpoints listed",
                    Measurement::changesPerS,
                    Measurement::corePercent);
            writeChart(
                    charts,
                    "sidecar-memory",
                    "Resident memory of a real sidecar",
                    "endpoints listed",
                    "MB",
                    point -> point.subject() == Measurement.Subject.SIDECAR,
                    point -> String.format(Locale.ROOT, "%.0f changes per second", point.changesPerS()),
                    Measurement::listSize,
                    Measurement::residentMb);
            writeChart(
                    charts,
                    "control-processor",
                    "Processor time of a control node",
                    "changes per second",
                    "percent of a core",
                    point -> point.subject() == Measurement.Subject.CONTROL,
                    point -> point.watchers() + " watchers",
                    Measurement::changesPerS,
                    Measurement::corePercent);
        }
        if (!rows.isEmpty()) {
            DefaultCategoryDataset bars = new DefaultCategoryDataset();
            rows.stream().filter(row -> !Double.isNaN(row.maxMs())).forEach(row -> {
                String name = row.name() + ", " + row.storm().scope().name().toLowerCase(Locale.ROOT);
                bars.addValue(row.p50Ms(), "p50", name);
                bars.addValue(row.p99Ms(), "p99", name);
                bars.addValue(row.maxMs(), "most", name);
            });
            charts.writeBarChart("in-force", "Time until a change is in force, hollow sidecars", "ms", bars, false);
        }
    }

    private void writeChart(
            Charts charts,
            String name,
            String title,
            String xLabel,
            String yLabel,
            Predicate<Measurement> filter,
            Function<Measurement, String> seriesName,
            ToDoubleFunction<Measurement> xValue,
            ToDoubleFunction<Measurement> yValue)
            throws IOException {
        Map<String, XYSeries> series = new LinkedHashMap<>();
        points.stream()
                .filter(filter.and(point -> !point.isVoid()))
                .forEach(point -> series.computeIfAbsent(seriesName.apply(point), XYSeries::new)
                        .add(xValue.applyAsDouble(point), yValue.applyAsDouble(point)));
        XYSeriesCollection dataset = new XYSeriesCollection();
        series.values().forEach(dataset::addSeries);
        charts.writeLineChart(name, title, xLabel, yLabel, dataset, false, false);
    }
}
