package lemonrail.lab.scale;

import java.util.List;

/**
 * A line through measured points by least squares.
 *
 * @param slope what one more of x adds to y
 * @param intercept y where x is 0
 * @param rSquared the part of the variance that the line explains (the coefficient of determination); 1
 *     where there is none to explain
 * @param points how many there were
 */
public record LinearFit(double slope, double intercept, double rSquared, int points) {

    /** Fewer points than these are no slope. */
    public static final int LEAST_POINTS = 3;

    /** A measured point. */
    public record Point(double x, double y) {}

    /** The line of these points, which must be three or more, not all at one place. */
    public static LinearFit of(List<Point> points) {
        if (points.size() < LEAST_POINTS) {
            throw new IllegalArgumentException("a fit takes " + LEAST_POINTS + " points or more, not " + points.size());
        }
        if (points.stream().mapToDouble(Point::x).distinct().count() == 1) {
            throw new IllegalArgumentException("all points of a fit are at " + points.get(0).x);
        }
        return through(points);
    }

    /** The line through any points; of no number where they are all at one place, or there are none. */
    public static LinearFit through(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(Double.NaN);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(Double.NaN);
        double xx =
                points.stream().mapToDouble(p -> (p.x - meanX) * (p.x - meanX)).sum();
        double xy =
                points.stream().mapToDouble(p -> (p.x - meanX) * (p.y - meanY)).sum();
        double yy =
                points.stream().mapToDouble(p -> (p.y - meanY) * (p.y - meanY)).sum();
        double slope = xx == 0 ? Double.NaN : xy / xx;
        return new LinearFit(slope, meanY - slope * meanX, yy == 0 ? 1 : xy * xy / (xx * yy), points.size());
    }

    /** What the line says at a place. */
    public double at(double x) {
        return intercept + slope * x;
    }
}
