package lemonrail.lab.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Collects runs of one scenario at several values of one setting and finds the knee of the service curve: the point
 * farthest from the straight line between the ends of the curve (Satopää et al., "Finding a Kneedle in a Haystack",
 * 2011).
 */
public final class Sweep {

    /** A curve whose service scores differ by less than this counts as flat and has no knee. */
    private static final double MIN_SERVICE_RANGE = 0.05;
    /**
     * A curve counts as straight if no point is farther than this from the line, as a fraction of the range of service.
     */
    private static final double MIN_KNEE_DISTANCE = 0.1;

    private static final int COLUMNS = 6;

    private final String scenario;
    private final String variant;
    private final String setting;
    private final Map<Double, List<Verdict>> points = new LinkedHashMap<>();

    /** Creates a sweep, without runs, of one setting of a variant. */
    public Sweep(String scenario, String variant, String setting) {
        this.scenario = scenario;
        this.variant = variant;
        this.setting = setting;
    }

    /** Adds a run at a value of the setting. */
    public void add(double value, Verdict verdict) {
        points.computeIfAbsent(value, key -> new ArrayList<>()).add(verdict);
    }

    private record Point(
            double value, double service, double p99Ms, double waste, double attemptsPerRequest, int runs) {}

    private List<Point> curve() {
        return points.entrySet().stream()
                .map(entry -> new Point(
                        entry.getKey(),
                        entry.getValue().stream()
                                .mapToDouble(Verdict::service)
                                .average()
                                .orElse(0),
                        entry.getValue().stream()
                                .mapToDouble(Verdict::p99Ms)
                                .average()
                                .orElse(0),
                        entry.getValue().stream()
                                .mapToDouble(Verdict::waste)
                                .average()
                                .orElse(0),
                        entry.getValue().stream()
                                .mapToDouble(Verdict::perAsk)
                                .average()
                                .orElse(0),
                        entry.getValue().size()))
                .sorted((one, other) -> Double.compare(one.value, other.value))
                .toList();
    }

    /** Returns the value at the knee, or empty if the curve is flat, straight or has fewer than three points. */
    public OptionalDouble knee() {
        List<Point> curve = curve();
        double minService = curve.stream().mapToDouble(Point::service).min().orElse(0);
        double maxService = curve.stream().mapToDouble(Point::service).max().orElse(0);
        if (curve.size() < 3 || maxService - minService < MIN_SERVICE_RANGE) {
            return OptionalDouble.empty();
        }
        Point first = curve.get(0);
        Point last = curve.get(curve.size() - 1);
        double maxDistance = MIN_KNEE_DISTANCE;
        OptionalDouble knee = OptionalDouble.empty();
        for (Point point : curve) {
            double x = (point.value - first.value) / (last.value - first.value);
            double lineService = first.service + (last.service - first.service) * x;
            double distance = Math.abs(point.service - lineService) / (maxService - minService);
            if (distance > maxDistance) {
                maxDistance = distance;
                knee = OptionalDouble.of(point.value);
            }
        }
        return knee;
    }

    /** Returns one sentence that states where the knee is, if there is one. */
    public String conclusion() {
        OptionalDouble knee = knee();
        return knee.isPresent()
                ? String.format(
                        Locale.ROOT,
                        "%s, %s: service has its knee at %s = %s",
                        scenario,
                        variant,
                        setting,
                        plain(knee.getAsDouble()))
                : scenario + ", " + variant + ": service has no knee in these values of " + setting;
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    /** Writes {@code sweep.md} and its charts into a directory, which is created if necessary. */
    public void write(Path folder, String version) throws IOException {
        Files.createDirectories(folder);
        StringBuilder markdown = new StringBuilder("# " + setting + " in " + scenario + ", " + variant
                + "\n\nVersion " + version + ".\n\n| " + setting
                + " | service | p99, ms | waste | attempts per request | runs |\n|" + " --- |".repeat(COLUMNS)
                + "\n");
        XYSeries serviceSeries = new XYSeries("service");
        XYSeries p99Series = new XYSeries("p99");
        for (Point point : curve()) {
            markdown.append(String.format(
                    Locale.ROOT,
                    "| %s | %.3f | %.0f | %.3f | %.2f | %d |%n",
                    plain(point.value),
                    point.service,
                    point.p99Ms,
                    point.waste,
                    point.attemptsPerRequest,
                    point.runs));
            serviceSeries.add(point.value, point.service);
            p99Series.add(point.value, point.p99Ms);
        }
        markdown.append('\n').append(conclusion()).append(".\n\n![service](service.svg)\n\n![p99](p99.svg)\n");
        Files.writeString(folder.resolve("sweep.md"), markdown);
        Charts charts = new Charts(folder);
        charts.writeLineChart(
                "service", "Service", setting, "service", new XYSeriesCollection(serviceSeries), false, false);
        charts.writeLineChart(
                "p99",
                "Latency of served requests, p99",
                setting,
                "ms",
                new XYSeriesCollection(p99Series),
                false,
                false);
    }
}
