package lemonrail.core;

import lemonrail.core.balancer.RequestClass;

/** Estimates the response times of a request class: typical, tail and base. All times are in milliseconds. */
public final class LatencyEstimator {

    /** Weight of a new sample in the typical time. */
    private static final double SMOOTHING_FACTOR = 1.0 / 32;
    /** The fraction of samples that exceed the tail time. */
    private static final double TAIL_FRACTION = 0.03;
    /** The step by which a sample moves the natural logarithm of the tail time. */
    private static final double TAIL_STEP = 0.1;
    /** The number of responses in each mean from which the base time is derived. */
    private static final int SAMPLES_PER_MEAN = 16;
    /** The maximum factor by which the base time rises with each of these means. */
    private static final double MAX_BASE_RISE = 1.02;
    /** Initial typical time, as a divisor of the latency objective. */
    private static final double INITIAL_TYPICAL_DIVISOR = 4;

    private double deadlineMs;
    private double typicalMs;
    private double tailMs;
    private double baseMs;

    private double sumMs;
    private int samples;

    /** Creates an estimator that starts from the class's latency objective and deadline. */
    public LatencyEstimator(RequestClass requestClass) {
        deadlineMs = requestClass.deadlineMs();
        typicalMs = requestClass.latencyObjectiveMs() / INITIAL_TYPICAL_DIVISOR;
        tailMs = requestClass.latencyObjectiveMs();
    }

    /** Changes the class's deadline. The estimates are kept. */
    public void setDeadlineMs(double newDeadlineMs) {
        deadlineMs = newDeadlineMs;
    }

    /** Records the elapsed time of an attempt, with or without a response. */
    public void recordElapsed(double elapsedMs) {
        double step = elapsedMs > tailMs ? TAIL_STEP * (1 - TAIL_FRACTION) : -TAIL_STEP * TAIL_FRACTION;
        tailMs = Math.min(deadlineMs, tailMs * Math.exp(step));
    }

    /** Records the response time of a successful attempt. */
    public void recordResponse(double responseTimeMs) {
        typicalMs += SMOOTHING_FACTOR * (responseTimeMs - typicalMs);
        sumMs += responseTimeMs;
        samples++;
        if (samples == SAMPLES_PER_MEAN) {
            double meanMs = sumMs / samples;
            baseMs = baseMs == 0 ? meanMs : Math.min(meanMs, baseMs * MAX_BASE_RISE);
            samples = 0;
            sumMs = 0;
        }
    }

    /** Returns the moving average of the response time. */
    public double typicalMs() {
        return typicalMs;
    }

    /** Returns the time that a fraction of {@value #TAIL_FRACTION} of the attempts exceeds. */
    public double tailMs() {
        return tailMs;
    }

    /** Returns the response time without queueing: the lowest of recent means. */
    public double baseMs() {
        return baseMs > 0 ? baseMs : typicalMs;
    }
}
