package lemonrail.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** What the edge itself costs, side by side with a direct call and a bare relay. */
public final class Baseline {

    /** What was varied in a row. */
    public enum Part {
        /** One rate, the three side by side. */
        SIDE_BY_SIDE,
        /** The rate, up to the first that is not kept. */
        RATE,
        /** The number of endpoints. */
        ENDPOINTS,
        /** The number of client connections. */
        CONNECTIONS
    }

    /**
     * One measurement.
     *
     * @param cpuUs processor time for each request in microseconds, NaN where there is nobody between
     * @param residentMb memory of the process, NaN likewise
     */
    public record Row(Part part, String what, int endpoints, int connections, double rate, long sent,
            long served, double p50Ms, double p99Ms, double p999Ms, double cpuUs, double residentMb,
            boolean isVoid) {

        /** As a line of CSV. */
        public String csv() {
            return String.format(Locale.ROOT, "%s,%s,%d,%d,%.0f,%d,%d,%.3f,%.3f,%.3f,%.1f,%.0f,%b",
                part.name().toLowerCase(Locale.ROOT), what, endpoints, connections, rate, sent, served, p50Ms,
                p99Ms, p999Ms, cpuUs, residentMb, isVoid);
        }
    }

    /** The heading of {@link Row#csv}. */
    public static final String HEADER = "part,what,endpoints,connections,rate,sent,served,p50_ms,p99_ms,"
        + "p999_ms,cpu_us,rss_mb,void";

    private final List<Row> rows = new ArrayList<>();

    /** Takes in a measurement. */
    public void add(Row row) {
        rows.add(row);
    }

    /** Writes {@code baseline.md}, {@code baseline.csv} and charts. */
    public void keep(Path folder, String version) throws IOException {
        Files.createDirectories(folder);
        StringBuilder csv = new StringBuilder(HEADER).append('\n');
        rows.forEach(row -> csv.append(row.csv()).append('\n'));
        Files.writeString(folder.resolve("baseline.csv"), csv);
        StringBuilder text = new StringBuilder("# What the edge itself costs\n\nVersion " + version + "; "
            + System.getProperty("os.arch") + ", " + Runtime.getRuntime().availableProcessors()
            + " cores, Java " + System.getProperty("java.version") + ".\n");
        for (Part part : Part.values()) {
            text.append("\n## ").append(part.name().toLowerCase(Locale.ROOT).replace('_', ' ')).append("\n\n")
                .append("| what | endpoints | connections | rate | served of sent | p50, ms | p99, ms "
                    + "| p99.9, ms | CPU, µs a request | memory, MB |\n|").append(" --- |".repeat(10))
                .append('\n');
            rows.stream().filter(row -> row.part == part).forEach(row -> text.append(String.format(
                Locale.ROOT, "| %s%s | %d | %d | %.0f | %.2f %% | %.3f | %.3f | %.3f | %s | %s |%n", row.what,
                row.isVoid ? " (void)" : "", row.endpoints, row.connections, row.rate,
                100.0 * row.served / Math.max(1, row.sent), row.p50Ms, row.p99Ms, row.p999Ms,
                plain(row.cpuUs), plain(row.residentMb))));
        }
        text.append("\n![rate](rate.svg)\n\n![endpoints](endpoints.svg)\n\n")
            .append("![connections](connections.svg)\n");
        Files.writeString(folder.resolve("baseline.md"), text);
        Charts charts = new Charts(folder);
        chart(charts, Part.RATE, "rate", "Time to an answer, p99, by rate", "requests a second", "ms",
            Row::rate, Row::p99Ms);
        chart(charts, Part.ENDPOINTS, "endpoints", "Processor time for each request, by endpoints",
            "endpoints", "µs", Row::endpoints, Row::cpuUs);
        chart(charts, Part.CONNECTIONS, "connections", "Processor time for each request, by client "
            + "connections", "connections", "µs", Row::connections, Row::cpuUs);
    }

    private static String plain(double value) {
        return Double.isNaN(value) ? "" : String.format(Locale.ROOT, "%.0f", value);
    }

    private void chart(Charts charts, Part part, String name, String title, String x, String y,
            ToDoubleFunction<Row> at, ToDoubleFunction<Row> figure) throws IOException {
        Map<String, XYSeries> lines = new LinkedHashMap<>();
        rows.stream().filter(row -> row.part == part && !row.isVoid).forEach(row -> lines.computeIfAbsent(
            row.what, XYSeries::new).add(at.applyAsDouble(row), figure.applyAsDouble(row)));
        XYSeriesCollection all = new XYSeriesCollection();
        lines.values().forEach(all::addSeries);
        charts.lines(name, title, x, y, all, true, false);
    }
}
