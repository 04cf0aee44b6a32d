package lemonrail.lab.scale;

import java.util.List;

/**
 * A linear regression by least squares.
 *
 * @param slope the increase of y per unit of x
 * @param intercept y at x = 0
 * @param rSquared the coefficient of determination, which is the fraction of the variance that the line explains; 1
 *     if there is no variance
 * @param points the number of points
 */
public record LinearFit(double slope, double intercept, double rSquared, int points) {

    /** The fewest points from which a slope is computed. */
    public static final int MIN_POINTS = 3;

    /** A measured point. */
    public record Point(double x, double y) {}

    /** Fits a line to three or more points, which must not all have the same x. */
    public static LinearFit of(List<Point> points) {
        if (points.size() < MIN_POINTS) {
            throw new IllegalArgumentException(
                    "a linear fit needs " + MIN_POINTS + " points or more, got " + points.size());
        }
        if (points.stream().mapToDouble(Point::x).distinct().count() == 1) {
            throw new IllegalArgumentException("all points of a linear fit have x = " + points.get(0).x);
        }
        return through(points);
    }

    /** Fits a line to any points. Slope and intercept are NaN if all points have the same x, or if there are none. */
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

    /** Returns y on the line at x. */
    public double valueAt(double x) {
        return intercept + slope * x;
    }
}
