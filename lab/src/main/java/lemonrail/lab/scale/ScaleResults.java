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
 * What a scale run came to.
 *
 * @param changes each change of each storm, as lines of CSV
 * @param cutShort why it ended before all was played, or empty where it did not
 */
public record ScaleResults(
        ScaleScenario scenario,
        String version,
        double tookMs,
        List<Measurement> points,
        List<StormRow> rows,
        List<String> changes,
        String cutShort) {

    /** Whether all targets were met, and nothing was void. */
    public boolean passes() {
        return cutShort.isEmpty()
                && rows.stream().allMatch(row -> row.verdict() == StormRow.Verdict.MET)
                && points.stream().noneMatch(Measurement::isVoid)
                && missed().isEmpty();
    }

    /** The targets that the slopes' points miss, in words. */
    public List<String> missed() {
        List<String> missed = new ArrayList<>();
        ScaleScenario.Targets targets = scenario.targets();
        for (Measurement point : points) {
            // The day's rate of changes is next to none: what stands still must be within the target.
            if (point.what() == Measurement.What.SIDECAR
                    && point.changesPerS() == 0
                    && !point.isVoid()
                    && point.listed() <= scenario.site().endpoints()) {
                if (point.corePercent() > targets.corePercent()) {
                    missed.add(String.format(
                            Locale.ROOT,
                            "a sidecar with %d listed and no changes takes " + "%.2f %% " + "of a core",
                            point.listed(),
                            point.corePercent()));
                }
                if (point.bytesPerS() > targets.kilobytesPerS() * 1000) {
                    missed.add(String.format(
                            Locale.ROOT,
                            "a sidecar with %d listed and no changes takes " + "%.0f " + "bytes a second",
                            point.listed(),
                            point.bytesPerS()));
                }
            }
        }
        double added = addedMb();
        if (added > targets.memoryMb()) {
            missed.add(String.format(
                    Locale.ROOT,
                    "the list of %d adds %.1f MB to a sidecar",
                    scenario.site().endpoints(),
                    added));
        }
        return missed;
    }

    /** Memory that the site's list adds to a real sidecar, by the slope; NaN where there is none. */
    public double addedMb() {
        return Slope.of(points).stream()
                .filter(slope -> slope.name().startsWith("sidecar resident memory"))
                .mapToDouble(slope -> slope.fit().slope() * scenario.site().endpoints())
                .findFirst()
                .orElse(Double.NaN);
    }

    /** Writes the table, the raw data and the charts. */
    public void keep(Path folder) throws IOException {
        Files.createDirectories(folder);
        Files.copy(scenario.file(), folder.resolve("scenario.toml"), StandardCopyOption.REPLACE_EXISTING);
        List<Slope> slopes = Slope.of(points);
        lines(
                folder.resolve("points.csv"),
                Measurement.HEADER,
                points.stream().map(Measurement::csv).toList());
        lines(
                folder.resolve("slopes.csv"),
                Slope.HEADER,
                slopes.stream().map(Slope::csv).toList());
        lines(
                folder.resolve("storms.csv"),
                StormRow.HEADER,
                rows.stream().map(StormRow::csv).toList());
        lines(folder.resolve("changes.csv"), StormRun.CHANGES_HEADER, changes);
        Files.writeString(folder.resolve("table.md"), table(slopes));
        charts(new Charts(folder));
    }

    private static void lines(Path file, String header, List<String> lines) throws IOException {
        Files.writeString(file, header + "\n" + String.join("\n", lines) + (lines.isEmpty() ? "" : "\n"));
    }

    /** The table, in Markdown. */
    public String table(List<Slope> slopes) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "# Scale: %s%n%n%s%n%nVersion %s; %s, %d "
                        + "cores, Java %s; %d sidecars, %d of them real processes, %d services; took %.0f s. %s%n",
                scenario.name(),
                scenario.about(),
                version,
                System.getProperty("os.arch"),
                Runtime.getRuntime().availableProcessors(),
                System.getProperty("java.version"),
                scenario.site().endpoints(),
                scenario.sidecars().real(),
                scenario.site().services(),
                tookMs / 1000,
                passes() ? "All targets are met." : "**Not all targets are met.**"));
        if (!cutShort.isEmpty()) {
            text.append("\n**Cut short**: ").append(cutShort).append(".\n");
        }
        missed().forEach(line -> text.append("\nMissed: ").append(line).append(".\n"));
        if (!rows.isEmpty()) {
            text.append(String.format(
                    Locale.ROOT,
                    "%n## Storms%n%nIn force within %.0f ms; a real "
                            + "sidecar at "
                            + "most %.1f %% of a core and %.0f KB a second in the mean.%n%n",
                    scenario.targets().inForceMs(),
                    scenario.targets().corePercent(),
                    scenario.targets().kilobytesPerS()));
            text.append("| storm | listed | changes | in force, ms: p50 | p99 | most | at real ones, most | "
                            + "has it, hollow | whole lists | control node: core | peak | a real sidecar: core | "
                            + "mean | peak "
                            + "| hollow: CPU each | lag p99, control, hollow | verdict |\n|")
                    .append(" --- |".repeat(17))
                    .append('\n');
            rows.forEach(row -> text.append(line(row)));
        }
        if (!points.isEmpty()) {
            text.append("\n## Slopes\n\n| cost | against | slope | intercept | R² | points | unit |\n|")
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
            text.append("\n## Points\n\n| what | listed | watchers | changes/s | core | bytes/s | "
                            + "resident, MB | "
                            + "proportional, MB | void |\n|")
                    .append(" --- |".repeat(9))
                    .append('\n');
            points.forEach(point -> text.append(String.format(
                    Locale.ROOT,
                    "| %s | %d | %s | %.0f | %.2f %% | %.0f | " + "%s | %s | %s |%n",
                    point.what().name().toLowerCase(Locale.ROOT),
                    point.listed(),
                    point.watchers() == 0 ? "" : point.watchers(),
                    point.changesPerS(),
                    point.corePercent(),
                    point.bytesPerS(),
                    plain(point.residentMb(), 1),
                    plain(point.proportionalMb(), 1),
                    point.isVoid() ? "void" : "")));
        }
        return text.toString();
    }

    private static String line(StormRow row) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %s | %s | %s | %s | %d of %d | %d | %.1f %% "
                        + "| %s | %s %% "
                        + "| %s | %s | %.0f ms | %.0f, %.0f ms | %s%s |%n",
                row.name(),
                row.storm().listed().name().toLowerCase(Locale.ROOT),
                row.changes(),
                plain(row.p50Ms(), 0),
                plain(row.p99Ms(), 0),
                row.never() > 0 ? "never (" + row.never() + ")" : plain(row.mostMs(), 0),
                plain(row.realMostMs(), 0),
                row.knowing(),
                row.hollow(),
                row.wholeLists(),
                row.controlCpuPercent(),
                bytes((double) row.controlPeakBytesPerS()),
                plain(row.realCpuPercent(), 2),
                bytes(row.realBytesPerS()),
                bytes((double) row.realPeakBytesPerS()),
                row.hollowCpuMs(),
                row.controlLagMs(),
                row.hollowLagMs(),
                row.verdict().word(),
                row.note().isEmpty() ? "" : ": " + row.note());
    }

    private static String bytes(double perS) {
        return Double.isNaN(perS)
                ? ""
                : perS >= 1e6
                        ? String.format(Locale.ROOT, "%.1f MB/s", perS / 1e6)
                        : String.format(Locale.ROOT, "%.1f KB/s", perS / 1e3);
    }

    private static String plain(double value, int places) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%." + places + "f", value);
    }

    // ---- charts ----

    private void charts(Charts charts) throws IOException {
        if (!points.isEmpty()) {
            chart(
                    charts,
                    "sidecar-processor",
                    "Processor time of a real sidecar",
                    "changes a second",
                    "percent of a core",
                    point -> point.what() == Measurement.What.SIDECAR,
                    point -> point.listed() + " listed",
                    Measurement::changesPerS,
                    Measurement::corePercent);
            chart(
                    charts,
                    "sidecar-memory",
                    "Resident memory of a real sidecar",
                    "endpoints listed",
                    "MB",
                    point -> point.what() == Measurement.What.SIDECAR,
                    point -> String.format(Locale.ROOT, "%.0f changes a second", point.changesPerS()),
                    Measurement::listed,
                    Measurement::residentMb);
            chart(
                    charts,
                    "control-processor",
                    "Processor time of a control node",
                    "changes a second",
                    "percent of a core",
                    point -> point.what() == Measurement.What.CONTROL,
                    point -> point.watchers() + " watchers",
                    Measurement::changesPerS,
                    Measurement::corePercent);
        }
        if (!rows.isEmpty()) {
            DefaultCategoryDataset bars = new DefaultCategoryDataset();
            rows.stream().filter(row -> !Double.isNaN(row.mostMs())).forEach(row -> {
                String name = row.name() + ", " + row.storm().listed().name().toLowerCase(Locale.ROOT);
                bars.addValue(row.p50Ms(), "p50", name);
                bars.addValue(row.p99Ms(), "p99", name);
                bars.addValue(row.mostMs(), "most", name);
            });
            charts.writeBarChart("in-force", "From change to in force, hollow sidecars", "ms", bars, false);
        }
    }

    private void chart(
            Charts charts,
            String name,
            String title,
            String x,
            String y,
            Predicate<Measurement> which,
            Function<Measurement, String> line,
            ToDoubleFunction<Measurement> at,
            ToDoubleFunction<Measurement> figure)
            throws IOException {
        Map<String, XYSeries> series = new LinkedHashMap<>();
        points.stream()
                .filter(which.and(point -> !point.isVoid()))
                .forEach(point -> series.computeIfAbsent(line.apply(point), XYSeries::new)
                        .add(at.applyAsDouble(point), figure.applyAsDouble(point)));
        XYSeriesCollection all = new XYSeriesCollection();
        series.values().forEach(all::addSeries);
        charts.writeLineChart(name, title, x, y, all, false, false);
    }
}
