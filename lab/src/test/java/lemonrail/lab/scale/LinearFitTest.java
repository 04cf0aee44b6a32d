package lemonrail.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LinearFitTest {

    private static final double TOLERANCE = 1e-9;

    @Test
    void pointsOnALineAreFittedExactly() {
        LinearFit fit = LinearFit.of(
                List.of(new LinearFit.Point(0, 7), new LinearFit.Point(10, 12), new LinearFit.Point(40, 27)));
        assertEquals(0.5, fit.slope(), TOLERANCE);
        assertEquals(7, fit.intercept(), TOLERANCE);
        assertEquals(1, fit.rSquared(), TOLERANCE);
        assertEquals(57, fit.valueAt(100), TOLERANCE);
    }

    @Test
    void fitMatchesAHandCalculation() {
        // For (1, 1), (2, 3), (3, 2): means 2 and 2; slope 1 / 2, intercept 1; the line explains 0.5 of a variation of
        // 2.
        LinearFit fit =
                LinearFit.of(List.of(new LinearFit.Point(1, 1), new LinearFit.Point(2, 3), new LinearFit.Point(3, 2)));
        assertEquals(0.5, fit.slope(), TOLERANCE);
        assertEquals(1, fit.intercept(), TOLERANCE);
        assertEquals(0.25, fit.rSquared(), TOLERANCE);
    }

    @Test
    void noiseLowersRSquared() {
        Random random = new Random(5);
        List<LinearFit.Point> points = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            points.add(new LinearFit.Point(i, 3 * i + 100 * random.nextGaussian()));
        }
        LinearFit fit = LinearFit.of(points);
        assertEquals(3, fit.slope(), 0.4);
        assertTrue(fit.rSquared() > 0.6 && fit.rSquared() < 0.95, "" + fit.rSquared());
    }

    @Test
    void constantValuesHaveSlopeZero() {
        LinearFit fit =
                LinearFit.of(List.of(new LinearFit.Point(1, 4), new LinearFit.Point(2, 4), new LinearFit.Point(3, 4)));
        assertEquals(0, fit.slope(), TOLERANCE);
        assertEquals(1, fit.rSquared(), TOLERANCE);
    }

    @Test
    void tooFewPointsAreRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(List.of(new LinearFit.Point(1, 1), new LinearFit.Point(2, 2))));
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(
                        List.of(new LinearFit.Point(1, 1), new LinearFit.Point(1, 2), new LinearFit.Point(1, 3))));
    }

    @Test
    void voidPointsAreLeftOutOfSlopes() {
        List<Measurement> points = new ArrayList<>();
        for (int rate : new int[] {0, 1, 5, 20}) {
            points.add(point(rate, 1 + rate, rate == 20));
        }
        Slope slope = Slope.of(points).stream()
                .filter(candidate -> candidate.name().contains("processor time at"))
                .findFirst()
                .orElseThrow();
        assertEquals(3, slope.fit().points());
        assertEquals(10, slope.fit().slope(), TOLERANCE);
        points.set(0, point(0, 1, true));
        assertTrue(Slope.of(points).stream()
                .noneMatch(candidate -> candidate.name().contains("processor time at")));
    }

    private static Measurement point(double rate, double percent, boolean isVoid) {
        return new Measurement(Measurement.Subject.SIDECAR, 10, 0, rate, percent, 0, 60, 40, 0, 0, isVoid);
    }
}
