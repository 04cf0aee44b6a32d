package lemonrail.lab.scale.path;

import java.util.List;

/**
 * The line through points by least squares.
 *
 * @param slope what one more of x adds to y
 * @param intercept y where x is 0
 * @param r2 the part of y's variance that the line explains (the coefficient of determination)
 * @param count points
 */
record LinearFit(double slope, double intercept, double r2, int count) {

    /** A point. */
    record Point(double x, double y) {
    }

    /** The fit of at least two points that differ in x; NaN otherwise. */
    static LinearFit of(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::x).average().orElse(Double.NaN);
        double meanY = points.stream().mapToDouble(Point::y).average().orElse(Double.NaN);
        double xx = points.stream().mapToDouble(p -> (p.x - meanX) * (p.x - meanX)).sum();
        double xy = points.stream().mapToDouble(p -> (p.x - meanX) * (p.y - meanY)).sum();
        double yy = points.stream().mapToDouble(p -> (p.y - meanY) * (p.y - meanY)).sum();
        double slope = xx == 0 ? Double.NaN : xy / xx;
        return new LinearFit(slope, meanY - slope * meanX, yy == 0 ? 1 : xy * xy / (xx * yy), points.size());
    }
}
