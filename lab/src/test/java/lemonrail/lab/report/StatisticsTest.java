package lemonrail.lab.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class StatisticsTest {

    @TempDir
    private Path folder;

    private static Verdict verdict(double service) {
        return new Verdict(
                service, service, service, service, service, 0, 0, 100, 90, 5, 5, 0, 1, 10, 20, 30, 0, List.of());
    }

    @Test
    void intervalContainsTheTrueMeanAsOftenAsItsConfidence() {
        Random random = new Random(4);
        int containing = 0;
        for (int i = 0; i < 200; i++) {
            List<Double> values = new ArrayList<>();
            for (int j = 0; j < 40; j++) {
                values.add(3 + random.nextGaussian());
            }
            Bootstrap.Interval interval = Bootstrap.meanInterval(values, 0.95);
            containing += interval.low() <= 3 && 3 <= interval.high() ? 1 : 0;
        }
        assertTrue(containing >= 178 && containing <= 199, "intervals with the true mean: " + containing + " of 200");
    }

    @Test
    void onlyDifferentVariantsDifferSignificantly() throws Exception {
        Comparison comparison = new Comparison(List.of("a", "b", "c"));
        Random random = new Random(2);
        for (int seed = 1; seed <= 12; seed++) {
            double base = 0.8 + random.nextGaussian() * 0.05;
            comparison.add(new Comparison.Entry("s", "a", seed, verdict(base), false));
            comparison.add(new Comparison.Entry("s", "b", seed, verdict(base + (seed % 2 == 0 ? 0.01 : -0.01)), false));
            comparison.add(
                    new Comparison.Entry("s", "c", seed, verdict(base - 0.1 + random.nextGaussian() * 0.02), false));
        }
        comparison.add(new Comparison.Entry("s", "b", 99, verdict(0), true));
        List<String> sentences = comparison.conclusions();
        assertTrue(sentences.get(0).contains("b does not differ significantly from a"), sentences.get(0));
        assertTrue(sentences.get(1).contains("c is worse than a"), sentences.get(1));
        comparison.write(folder, "v1");
        assertEquals(38, Files.readAllLines(folder.resolve("compare.csv")).size());
        assertTrue(Files.readString(folder.resolve("compare.md")).contains("1 of them void"));
        assertTrue(Files.size(folder.resolve("service.svg")) > 1000);
    }

    @Test
    void tooFewPairsGiveNoConclusion() {
        Comparison comparison = new Comparison(List.of("a", "b"));
        comparison.add(new Comparison.Entry("s", "a", 1, verdict(0.9), false));
        comparison.add(new Comparison.Entry("s", "b", 1, verdict(0.1), false));
        assertTrue(comparison.conclusions().get(0).contains("too few pairs"));
        assertFalse(Bootstrap.meanInterval(List.of(1.0, 1.0, 1.0), 0.95).excludesZero());
    }

    private static OptionalDouble knee(double... services) {
        Sweep sweep = new Sweep("s", "v", "load.rate");
        for (int i = 0; i < services.length; i++) {
            sweep.add((i + 1) * 10, verdict(services[i]));
        }
        return sweep.knee();
    }

    @Test
    void kneeIsWhereServiceStartsToFall() {
        assertEquals(40, knee(1, 1, 0.99, 0.98, 0.7, 0.4).orElseThrow());
        assertEquals(OptionalDouble.empty(), knee(0.98, 0.97, 0.98, 0.99), "flat");
        assertEquals(OptionalDouble.empty(), knee(1, 0.8, 0.6, 0.4), "straight");
        assertEquals(OptionalDouble.empty(), knee(1, 0.2), "two points");
    }
}
