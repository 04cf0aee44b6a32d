package lemonrail.core;

import lemonrail.core.balancer.RequestClass;

/** The times that answers of a class take, learned one by one: the usual, the one few exceed, the least. */
public final class LatencyEstimator {

    /** Weight of a new sample. */
    private static final double GAIN = 1.0 / 32;
    /** The share of answers that the tail time exceeds, and how fast it is learned. */
    private static final double TAIL_SHARE = 0.03;

    private static final double TAIL_GAIN = 0.1;
    /** Answers averaged for the base time, and the rise it is allowed at each such average. */
    private static final int BASE_SAMPLES = 16;

    private static final double BASE_RISE = 1.02;

    private double mostMs;
    private double typicalMs;
    private double tailMs;
    /** The lowest of recent averages. */
    private double baseMs;

    private double sumMs;
    private int samples;

    /** Nothing is learned yet: the class's own figures stand in. */
    public LatencyEstimator(RequestClass kind) {
        mostMs = kind.deadlineMs();
        typicalMs = kind.latencyObjectiveMs() / 4;
        tailMs = kind.latencyObjectiveMs();
    }

    /** The class's deadline from now on; what was learned stays. */
    public void deadline(double deadlineMs) {
        mostMs = deadlineMs;
    }

    /** An answer has taken so long, or has not come within that time. */
    public void waited(double tookMs) {
        double step = tookMs > tailMs ? TAIL_GAIN * (1 - TAIL_SHARE) : -TAIL_GAIN * TAIL_SHARE;
        tailMs = Math.min(mostMs, tailMs * Math.exp(step));
    }

    /** An answer has come. */
    public void answered(double tookMs) {
        typicalMs += GAIN * (tookMs - typicalMs);
        sumMs += tookMs;
        if (++samples == BASE_SAMPLES) {
            double mean = sumMs / samples;
            baseMs = baseMs == 0 ? mean : Math.min(mean, baseMs * BASE_RISE);
            samples = 0;
            sumMs = 0;
        }
    }

    /** What answers usually take, in milliseconds. */
    public double typicalMs() {
        return typicalMs;
    }

    /** What few answers exceed, in milliseconds. */
    public double tailMs() {
        return tailMs;
    }

    /** What answers take when nothing is crowded, in milliseconds. */
    public double baseMs() {
        return baseMs > 0 ? baseMs : typicalMs;
    }
}
