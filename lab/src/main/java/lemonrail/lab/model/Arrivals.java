package lemonrail.lab.model;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Requests that come whether or not others have been answered: their times are drawn ahead, as a Poisson
 * process or evenly, at a rate that bursts multiply.
 */
public final class Arrivals {

    /** How requests follow one another. */
    public enum Spacing {
        POISSON,
        EVEN
    }

    private record Burst(double beginMs, double endMs, double times) {}

    private final double perMs;
    private final Spacing spacing;
    private final UniformRandomProvider random;
    private final List<Burst> bursts = new ArrayList<>();
    private double atMs;

    /** Requests at so many a second, from the beginning of the run on. */
    public Arrivals(double perSecond, Spacing spacing, UniformRandomProvider random) {
        perMs = perSecond / 1000;
        this.spacing = spacing;
        this.random = random;
    }

    /** So many times the rate from one time to another. */
    public void burst(double beginMs, double lengthMs, double times) {
        bursts.add(new Burst(beginMs, beginMs + lengthMs, times));
    }

    /** The time of the next request. */
    public double next() {
        // Arrivals at rate 1 in stretched time, carried back through the changing rate.
        double left = spacing == Spacing.EVEN ? 1 : -Math.log1p(-random.nextDouble());
        while (true) {
            double rate = perMs;
            double untilMs = Double.POSITIVE_INFINITY;
            for (Burst burst : bursts) {
                if (atMs < burst.beginMs) {
                    untilMs = Math.min(untilMs, burst.beginMs);
                } else if (atMs < burst.endMs) {
                    rate *= burst.times;
                    untilMs = Math.min(untilMs, burst.endMs);
                }
            }
            double room = rate * (untilMs - atMs);
            if (left <= room) {
                atMs += left / rate;
                return atMs;
            }
            left -= room;
            atMs = untilMs;
        }
    }
}
