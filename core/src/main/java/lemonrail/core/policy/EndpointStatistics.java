package lemonrail.core.policy;

/** Speed and load of an endpoint, estimated from its response times. */
final class EndpointStatistics {

    /** Weight of a new sample in the latency ratio and the response interval. */
    private static final double SMOOTHING_FACTOR = 1.0 / 12;
    /** Weight of a new sample in the queueing delay ratio. */
    private static final double QUEUEING_DELAY_SMOOTHING_FACTOR = 1.0 / 4;
    /** The maximum sample. Without it a few samples could determine the ratio. */
    private static final double MAX_LATENCY_RATIO = 8;
    /** An endpoint is hung after this many mean response intervals without a response. */
    private static final double HUNG_INTERVALS = 4;

    private double latencyRatio = 1;
    private double queueingDelayRatio;
    /** When it last responded; 0 before its first response. */
    private double lastResponseMs;
    /** Mean time between two of its responses to this balancer; 0 before the second response. */
    private double responseIntervalMs;

    /** Records the elapsed time of an attempt, with or without a response, against the class's typical time. */
    void recordElapsed(double elapsedMs, double typicalMs) {
        latencyRatio += SMOOTHING_FACTOR * (Math.min(elapsedMs / typicalMs, MAX_LATENCY_RATIO) - latencyRatio);
    }

    /** Records a response and its queueing delay ratio. */
    void recordResponse(double nowMs, double newQueueingDelayRatio) {
        queueingDelayRatio += QUEUEING_DELAY_SMOOTHING_FACTOR * (newQueueingDelayRatio - queueingDelayRatio);
        if (lastResponseMs > 0) {
            double intervalMs = nowMs - lastResponseMs;
            responseIntervalMs += (responseIntervalMs == 0 ? 1 : SMOOTHING_FACTOR) * (intervalMs - responseIntervalMs);
        }
        lastResponseMs = nowMs;
    }

    /** Returns how long its attempts take relative to all endpoints' typical time: 1 is typical. */
    double latencyRatio() {
        return latencyRatio;
    }

    /** Returns the recent mean of its queueing delay ratio, see {@link OverloadSignal}. */
    double queueingDelayRatio() {
        return queueingDelayRatio;
    }

    boolean hasRespondedSince(double timeMs) {
        return lastResponseMs > timeMs;
    }

    /** Returns whether it has been silent for several of its mean response intervals. */
    boolean isSilent(double nowMs) {
        return responseIntervalMs > 0 && nowMs - lastResponseMs > HUNG_INTERVALS * responseIntervalMs;
    }

    void reset() {
        latencyRatio = 1;
        lastResponseMs = 0;
        queueingDelayRatio = 0;
        responseIntervalMs = 0;
    }
}
