package lemonrail.lab.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Arrival times of an open-loop load: requests arrive whether or not earlier ones have been answered. The times
 * form a Poisson process or are evenly spaced, and bursts multiply the rate for a while.
 */
public final class Arrivals {

    /** Distribution of the time between two arrivals. */
    public enum Spacing {
        POISSON,
        EVEN
    }

    private record Burst(double beginMs, double endMs, double factor) {}

    private final double perMs;
    private final Spacing spacing;
    private final UniformRandomProvider random;
    private final List<Burst> bursts = new ArrayList<>();
    private double atMs;

    /** Creates arrivals at {@code perSecond} from the beginning of the run on. */
    public Arrivals(double perSecond, Spacing spacing, UniformRandomProvider random) {
        perMs = perSecond / 1000;
        this.spacing = spacing;
        this.random = random;
    }

    /** Multiplies the rate by {@code factor} for {@code lengthMs}, beginning at {@code beginMs}. */
    public void addBurst(double beginMs, double lengthMs, double factor) {
        bursts.add(new Burst(beginMs, beginMs + lengthMs, factor));
    }

    /** Returns the time of the next arrival, in ms since the run began, and advances to it. */
    public double nextMs() {
        // Draws a gap of a process with rate 1 and maps it back to real time by integrating the changing rate.
        double remaining = spacing == Spacing.EVEN ? 1 : -Math.log1p(-random.nextDouble());
        while (true) {
            double rate = perMs;
            double untilMs = Double.POSITIVE_INFINITY;
            for (Burst burst : bursts) {
                if (atMs < burst.beginMs) {
                    untilMs = Math.min(untilMs, burst.beginMs);
                } else if (atMs < burst.endMs) {
                    rate *= burst.factor;
                    untilMs = Math.min(untilMs, burst.endMs);
                }
            }
            double available = rate * (untilMs - atMs);
            if (remaining <= available) {
                atMs += remaining / rate;
                return atMs;
            }
            remaining -= available;
            atMs = untilMs;
        }
    }
}
