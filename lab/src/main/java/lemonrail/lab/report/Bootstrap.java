package lemonrail.lab.report;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Confidence intervals of a mean by the percentile bootstrap (Efron, 1979): the values are resampled with replacement
 * many times, and the interval covers the middle part of the resampled means.
 */
public final class Bootstrap {

    private static final int RESAMPLES = 10_000;
    private static final long SEED = 20_231;

    /** A mean, the bounds of its confidence interval, and the number of values. */
    public record Interval(double mean, double low, double high, int count) {
        /** Returns whether the interval excludes 0 and has the minimum number of values, four. */
        public boolean excludesZero() {
            return count >= MIN_COUNT && (low > 0 || high < 0);
        }
    }

    /** With fewer values than this the interval is too narrow to be meaningful. */
    public static final int MIN_COUNT = 4;

    private Bootstrap() {}

    /**
     * Returns the mean of the values with its confidence interval.
     *
     * @param confidence confidence level, for example 0.95
     */
    public static Interval meanInterval(List<Double> values, double confidence) {
        if (values.isEmpty()) {
            throw new IllegalArgumentException("cannot compute the interval of an empty list of values");
        }
        UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(SEED);
        double[] means = new double[RESAMPLES];
        for (int i = 0; i < RESAMPLES; i++) {
            double sum = 0;
            for (int j = 0; j < values.size(); j++) {
                sum += values.get(random.nextInt(values.size()));
            }
            means[i] = sum / values.size();
        }
        Arrays.sort(means);
        double tailFraction = (1 - confidence) / 2;
        return new Interval(
                values.stream().mapToDouble(value -> value).average().orElseThrow(),
                means[(int) (tailFraction * RESAMPLES)],
                means[(int) ((1 - tailFraction) * RESAMPLES) - 1],
                values.size());
    }
}
