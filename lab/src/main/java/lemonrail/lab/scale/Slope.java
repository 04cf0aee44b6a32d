package lemonrail.lab.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * A cost as a linear function of what it grows with.
 *
 * @param name the cost, with the values that stay the same
 * @param against what the cost grows with
 * @param unit the unit of the slope, and of the intercept if it is another one
 */
public record Slope(String name, String against, String unit, LinearFit fit) {

    /**
     * One percent of a core is this many milliseconds of processor time per second. If x is in changes per second,
     * the slope is then in milliseconds per change.
     */
    private static final double MS_PER_PERCENT = 10;

    /** The header line for {@link #toCsv}. */
    public static final String CSV_HEADER = "name,against,unit,slope,intercept,r_squared,points";

    /** Returns the slope as a line of CSV. */
    public String toCsv() {
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

    /** Returns all slopes for which there are points at three or more different values; void points are left out. */
    public static List<Slope> of(List<Measurement> points) {
        List<Slope> slopes = new ArrayList<>();
        List<LinearFit.Point> costsPerChange = new ArrayList<>();
        List<Integer> listSizes = points.stream()
                .filter(point -> point.subject() == Measurement.Subject.SIDECAR)
                .map(Measurement::listSize)
                .distinct()
                .sorted()
                .toList();
        for (int listSize : listSizes) {
            Slope slope = addFit(
                    slopes,
                    points,
                    "sidecar processor time at " + listSize + " listed",
                    "changes a second",
                    "ms a change; intercept ms a second",
                    point -> point.subject() == Measurement.Subject.SIDECAR && point.listSize() == listSize,
                    Measurement::changesPerS,
                    point -> point.corePercent() * MS_PER_PERCENT);
            if (slope != null) {
                costsPerChange.add(new LinearFit.Point(listSize, slope.fit.slope()));
            }
        }
        if (costsPerChange.size() >= LinearFit.MIN_POINTS) {
            slopes.add(new Slope(
                    "sidecar processor time of one change",
                    "endpoints listed",
                    "ms an endpoint listed; intercept ms",
                    LinearFit.of(costsPerChange)));
        }
        Predicate<Measurement> idle =
                point -> point.subject() == Measurement.Subject.SIDECAR && point.changesPerS() == 0;
        addFit(
                slopes,
                points,
                "sidecar processor time without changes",
                "endpoints listed",
                "percent of a core an endpoint",
                idle,
                Measurement::listSize,
                Measurement::corePercent);
        double maxChangesPerS =
                points.stream().mapToDouble(Measurement::changesPerS).max().orElse(0);
        Predicate<Measurement> atMaxChanges =
                point -> point.subject() == Measurement.Subject.SIDECAR && point.changesPerS() == maxChangesPerS;
        addFit(
                slopes,
                points,
                "sidecar resident memory at the most changes",
                "endpoints listed",
                "MB an endpoint; intercept MB",
                atMaxChanges,
                Measurement::listSize,
                Measurement::residentMb);
        int largestList = listSizes.isEmpty() ? 0 : listSizes.get(listSizes.size() - 1);
        addFit(
                slopes,
                points,
                "sidecar bytes at " + largestList + " listed",
                "changes a second",
                "bytes a change; intercept bytes a second",
                point -> point.subject() == Measurement.Subject.SIDECAR && point.listSize() == largestList,
                Measurement::changesPerS,
                Measurement::bytesPerS);
        addFit(
                slopes,
                points,
                "sidecar bytes without changes",
                "endpoints listed",
                "bytes a second an endpoint",
                idle,
                Measurement::listSize,
                Measurement::bytesPerS);
        Predicate<Measurement> control = point -> point.subject() == Measurement.Subject.CONTROL;
        addFit(
                slopes,
                points,
                "control node processor time",
                "changes a second times watchers",
                "ms a change and watcher; intercept ms a second",
                control,
                point -> point.changesPerS() * point.watchers(),
                point -> point.corePercent() * MS_PER_PERCENT);
        addFit(
                slopes,
                points,
                "control node processor time without changes",
                "watchers",
                "percent of a core a watcher",
                control.and(point -> point.changesPerS() == 0),
                Measurement::watchers,
                Measurement::corePercent);
        addFit(
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

    private static Slope addFit(
            List<Slope> slopes,
            List<Measurement> points,
            String name,
            String against,
            String unit,
            Predicate<Measurement> filter,
            ToDoubleFunction<Measurement> x,
            ToDoubleFunction<Measurement> y) {
        List<LinearFit.Point> fitted = points.stream()
                .filter(filter.and(point -> !point.isVoid()))
                .map(point -> new LinearFit.Point(x.applyAsDouble(point), y.applyAsDouble(point)))
                .sorted(Comparator.comparingDouble(LinearFit.Point::x))
                .toList();
        if (fitted.stream().mapToDouble(LinearFit.Point::x).distinct().count() < LinearFit.MIN_POINTS) {
            return null;
        }
        Slope slope = new Slope(name, against, unit, LinearFit.of(fitted));
        slopes.add(slope);
        return slope;
    }
}
