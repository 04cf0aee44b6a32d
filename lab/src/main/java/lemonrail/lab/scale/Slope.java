package lemonrail.lab.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * One cost against what it grows with.
 *
 * @param name of the cost, with what stays as it is
 * @param unit of the cost for one more of what it grows with
 */
public record Slope(String name, String against, String unit, LinearFit fit) {

    /** From percent of a core for each change a second to ms of processor time for each change. */
    private static final double MS_A_PERCENT = 10;

    /** The heading of {@link #csv}. */
    public static final String HEADER = "name,against,unit,slope,intercept,r_squared,points";

    /** As a line of CSV. */
    public String csv() {
        return String.format(
                Locale.ROOT,
                "%s,%s,%s,%.6g,%.6g,%.4f,%d",
                name,
                against,
                unit,
                fit.slope(),
                fit.intercept(),
                fit.rSquared(),
                fit.points());
    }

    /** All that these points have three values or more for; void points are left out. */
    public static List<Slope> of(List<Measurement> points) {
        List<Slope> slopes = new ArrayList<>();
        List<LinearFit.Point> perChange = new ArrayList<>();
        List<Integer> sizes = points.stream()
                .filter(point -> point.what() == Measurement.What.SIDECAR)
                .map(Measurement::listed)
                .distinct()
                .sorted()
                .toList();
        for (int listed : sizes) {
            Slope slope = add(
                    slopes,
                    points,
                    "sidecar processor time at " + listed + " listed",
                    "changes a second",
                    "ms a change; intercept ms a second",
                    point -> point.what() == Measurement.What.SIDECAR && point.listed() == listed,
                    Measurement::changesPerS,
                    point -> point.corePercent() * MS_A_PERCENT);
            if (slope != null) {
                perChange.add(new LinearFit.Point(listed, slope.fit.slope()));
            }
        }
        if (perChange.size() >= LinearFit.LEAST_POINTS) {
            slopes.add(new Slope(
                    "sidecar processor time of one change",
                    "endpoints listed",
                    "ms an endpoint listed; intercept ms",
                    LinearFit.of(perChange)));
        }
        Predicate<Measurement> idle = point -> point.what() == Measurement.What.SIDECAR && point.changesPerS() == 0;
        add(
                slopes,
                points,
                "sidecar processor time without changes",
                "endpoints listed",
                "percent of a core an endpoint",
                idle,
                Measurement::listed,
                Measurement::corePercent);
        double most =
                points.stream().mapToDouble(Measurement::changesPerS).max().orElse(0);
        Predicate<Measurement> busy = point -> point.what() == Measurement.What.SIDECAR && point.changesPerS() == most;
        add(
                slopes,
                points,
                "sidecar resident memory at the most changes",
                "endpoints listed",
                "MB an endpoint; intercept MB",
                busy,
                Measurement::listed,
                Measurement::residentMb);
        int largest = sizes.isEmpty() ? 0 : sizes.get(sizes.size() - 1);
        add(
                slopes,
                points,
                "sidecar bytes at " + largest + " listed",
                "changes a second",
                "bytes a change; intercept bytes a second",
                point -> point.what() == Measurement.What.SIDECAR && point.listed() == largest,
                Measurement::changesPerS,
                Measurement::bytesPerS);
        add(
                slopes,
                points,
                "sidecar bytes without changes",
                "endpoints listed",
                "bytes a second an endpoint",
                idle,
                Measurement::listed,
                Measurement::bytesPerS);
        Predicate<Measurement> control = point -> point.what() == Measurement.What.CONTROL;
        add(
                slopes,
                points,
                "control node processor time",
                "changes a second times watchers",
                "ms a change and watcher; intercept ms a second",
                control,
                point -> point.changesPerS() * point.watchers(),
                point -> point.corePercent() * MS_A_PERCENT);
        add(
                slopes,
                points,
                "control node processor time without changes",
                "watchers",
                "percent of a core a watcher",
                control.and(point -> point.changesPerS() == 0),
                Measurement::watchers,
                Measurement::corePercent);
        add(
                slopes,
                points,
                "control node bytes",
                "changes a second times watchers",
                "bytes a change and watcher; intercept bytes a second",
                control,
                point -> point.changesPerS() * point.watchers(),
                Measurement::bytesPerS);
        return slopes;
    }

    private static Slope add(
            List<Slope> slopes,
            List<Measurement> points,
            String name,
            String against,
            String unit,
            Predicate<Measurement> which,
            ToDoubleFunction<Measurement> x,
            ToDoubleFunction<Measurement> y) {
        List<LinearFit.Point> fitted = points.stream()
                .filter(which.and(point -> !point.isVoid()))
                .map(point -> new LinearFit.Point(x.applyAsDouble(point), y.applyAsDouble(point)))
                .sorted(Comparator.comparingDouble(LinearFit.Point::x))
                .toList();
        if (fitted.stream().mapToDouble(LinearFit.Point::x).distinct().count() < LinearFit.LEAST_POINTS) {
            return null;
        }
        Slope slope = new Slope(name, against, unit, LinearFit.of(fitted));
        slopes.add(slope);
        return slope;
    }
}
