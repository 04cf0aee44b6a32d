package lemonrail.lab.report;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * What is known of a mean from a few differences: the interval that holds the middle of the means of many
 * samples drawn from them with replacement (the percentile bootstrap of Efron, 1979).
 */
public final class Bootstrap {

    private static final int SAMPLES = 10_000;
    private static final long SEED = 20_231;

    /** A mean and its interval. */
    public record Interval(double mean, double low, double high, int count) {
        /** Whether the mean surely is not 0; fewer than four differences tell nothing. */
        public boolean excludesZero() {
            return count >= LEAST && (low > 0 || high < 0);
        }
    }

    /** With fewer than so many values the interval is too narrow to mean anything. */
    public static final int LEAST = 4;

    private Bootstrap() {}

    /** The interval that holds so large a part of the means, as in 0.95. */
    public static Interval mean(List<Double> values, double part) {
        if (values.isEmpty()) {
            throw new IllegalArgumentException("there are no values");
        }
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        double[] means = new double[SAMPLES];
        for (int i = 0; i < SAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < values.size(); j++) {
                sum += values.get(random.nextInt(values.size()));
            }
            means[i] = sum / values.size();
        }
        Arrays.sort(means);
        double tail = (1 - part) / 2;
        return new Interval(
                values.stream().mapToDouble(value -> value).average().orElseThrow(),
                means[(int) (tail * SAMPLES)],
                means[(int) ((1 - tail) * SAMPLES) - 1],
                values.size());
    }
}
