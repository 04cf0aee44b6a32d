package lemonrail.lab.scale;

import java.util.List;

/**
 * A line through measured points by least squares.
 *
 * @param rSquared the part of the variance that the line explains; 1 where there is none to explain
 */
public record Fit(double slope, double intercept, double rSquared, int points) {

    /** Fewer points than these are no slope. */
    public static final int LEAST_POINTS = 3;

    /** A measured point. */
    public record Point(double x, double y) {
    }

    /** The line of these points, which must be three or more, not all at one place. */
    public static Fit of(List<Point> points) {
        if (points.size() < LEAST_POINTS) {
            throw new IllegalArgumentException("a fit takes " + LEAST_POINTS + " points or more, not "
                + points.size());
        }
        double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
        double xx = 0;
        double xy = 0;
        double yy = 0;
        for (Point point : points) {
            xx += (point.x - meanX) * (point.x - meanX);
            xy += (point.x - meanX) * (point.y - meanY);
            yy += (point.y - meanY) * (point.y - meanY);
        }
        if (xx == 0) {
            throw new IllegalArgumentException("all points of a fit are at " + meanX);
        }
        double slope = xy / xx;
        return new Fit(slope, meanY - slope * meanX, yy == 0 ? 1 : xy * xy / (xx * yy), points.size());
    }

    /** What the line says at a place. */
    public double at(double x) {
        return intercept + slope * x;
    }
}
