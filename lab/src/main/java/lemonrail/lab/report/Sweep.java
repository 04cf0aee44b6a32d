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
 * One setting over several values, and where service bends: the point farthest from the straight line between
 * the curve's ends (the knee of Satopää and others, "Finding a Kneedle in a Haystack", 2011).
 */
public final class Sweep {

    /** A curve that goes over less than this of service is flat and has no knee. */
    private static final double FLAT = 0.05;
    /** Nearer to the line than this part of both axes it is a straight line. */
    private static final double STRAIGHT = 0.1;

    private static final int COLUMNS = 6;

    private final String scenario;
    private final String variant;
    private final String setting;
    private final Map<Double, List<Verdict>> points = new LinkedHashMap<>();

    /** A sweep of one setting of one variant. */
    public Sweep(String scenario, String variant, String setting) {
        this.scenario = scenario;
        this.variant = variant;
        this.setting = setting;
    }

    /** Takes in one run at one value. */
    public void add(double value, Verdict verdict) {
        points.computeIfAbsent(value, at -> new ArrayList<>()).add(verdict);
    }

    private record Point(double value, double service, double p99Ms, double waste, double perAsk, int runs) {}

    private List<Point> curve() {
        return points.entrySet().stream()
                .map(at -> new Point(
                        at.getKey(),
                        at.getValue().stream()
                                .mapToDouble(Verdict::service)
                                .average()
                                .orElse(0),
                        at.getValue().stream()
                                .mapToDouble(Verdict::p99Ms)
                                .average()
                                .orElse(0),
                        at.getValue().stream()
                                .mapToDouble(Verdict::waste)
                                .average()
                                .orElse(0),
                        at.getValue().stream()
                                .mapToDouble(Verdict::perAsk)
                                .average()
                                .orElse(0),
                        at.getValue().size()))
                .sorted((one, other) -> Double.compare(one.value, other.value))
                .toList();
    }

    /** The value at the knee; none where the curve is flat, straight or of fewer than three points. */
    public OptionalDouble knee() {
        List<Point> curve = curve();
        double low = curve.stream().mapToDouble(Point::service).min().orElse(0);
        double high = curve.stream().mapToDouble(Point::service).max().orElse(0);
        if (curve.size() < 3 || high - low < FLAT) {
            return OptionalDouble.empty();
        }
        Point first = curve.get(0);
        Point last = curve.get(curve.size() - 1);
        double best = STRAIGHT;
        OptionalDouble knee = OptionalDouble.empty();
        for (Point point : curve) {
            double x = (point.value - first.value) / (last.value - first.value);
            double line = first.service + (last.service - first.service) * x;
            double away = Math.abs(point.service - line) / (high - low);
            if (away > best) {
                best = away;
                knee = OptionalDouble.of(point.value);
            }
        }
        return knee;
    }

    /** One sentence. */
    public String sentence() {
        OptionalDouble knee = knee();
        return knee.isPresent()
                ? String.format(
                        Locale.ROOT,
                        "%s, %s: service bends at %s = %s",
                        scenario,
                        variant,
                        setting,
                        plain(knee.getAsDouble()))
                : scenario + ", " + variant + ": service has no knee over these values of " + setting;
    }

    private static String plain(double value) {
        return value == Math.rint(value) ? String.valueOf((long) value) : String.valueOf(value);
    }

    /** Writes {@code sweep.md} and charts. */
    public void keep(Path folder, String version) throws IOException {
        Files.createDirectories(folder);
        StringBuilder text = new StringBuilder("# " + setting + " in " + scenario + ", " + variant
                + "\n\nVersion " + version + ".\n\n| " + setting
                + " | service | p99, ms | waste | attempts for each | runs |\n|" + " --- |".repeat(COLUMNS)
                + "\n");
        XYSeries service = new XYSeries("service");
        XYSeries slow = new XYSeries("p99");
        for (Point point : curve()) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %.3f | %.0f | %.3f | %.2f | %d |%n",
                    plain(point.value),
                    point.service,
                    point.p99Ms,
                    point.waste,
                    point.perAsk,
                    point.runs));
            service.add(point.value, point.service);
            slow.add(point.value, point.p99Ms);
        }
        text.append('\n').append(sentence()).append(".\n\n![service](service.svg)\n\n![p99](p99.svg)\n");
        Files.writeString(folder.resolve("sweep.md"), text);
        Charts charts = new Charts(folder);
        charts.lines("service", "Service", setting, "service", new XYSeriesCollection(service), false, false);
        charts.lines("p99", "Time to a served answer, p99", setting, "ms", new XYSeriesCollection(slow), false, false);
    }
}
