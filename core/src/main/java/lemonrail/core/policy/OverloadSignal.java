package lemonrail.core.policy;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;

/**
 * The recent mean of the queueing delay ratio over all endpoints. The ratio of an attempt is its time beyond the base
 * time, as a fraction of the latency headroom: the latency objective minus the base time. The ratio is 0 without
 * queueing, and 1 if a response just meets its objective.
 */
final class OverloadSignal {

    /** The mean ratio above which endpoints are overloaded, for a balancer with a large limit. */
    private static final double HEADROOM_THRESHOLD = 0.2;
    /** The fraction of this threshold that applies to a small limit. */
    private static final double MIN_THRESHOLD_FRACTION = 0.5;
    /** The limit, in requests in flight, from which the full threshold applies. */
    private static final double FULL_THRESHOLD_LIMIT = 3;
    /** The maximum absolute value of one attempt's ratio. */
    private static final double MAX_RATIO = 2;
    /** The headroom is taken to be at least this fraction of the latency objective. */
    private static final double MIN_HEADROOM_FRACTION = 0.25;
    /** The minimum weight of a new ratio in the mean. */
    private static final double MIN_SMOOTHING_FACTOR = 1.0 / 16;

    private double meanRatio;

    /**
     * Returns whether a result with this outcome says anything about the endpoint's load.
     *
     * @param isHung whether the endpoint is hung: its timeouts say nothing about load
     */
    static boolean isInformative(AttemptOutcome outcome, boolean isHung) {
        return outcome == AttemptOutcome.OK
                || outcome == AttemptOutcome.QUEUE_FULL
                || (outcome == AttemptOutcome.TIMED_OUT && !isHung);
    }

    /**
     * Returns the queueing delay ratio of an attempt. Responses faster than the base time have a negative ratio:
     * requests differ in work, and if only slow responses counted, that difference would be mistaken for queueing.
     */
    static double queueingDelayRatio(InFlightRequest request, AttemptResult result) {
        if (result.outcome() == AttemptOutcome.QUEUE_FULL) {
            return 1;
        }
        double baseMs = request.latency().baseMs();
        double objectiveMs = request.requestClass().latencyObjectiveMs();
        double headroomMs = Math.max(objectiveMs - baseMs, objectiveMs * MIN_HEADROOM_FRACTION);
        double ratio = (result.endpointTimeMs() - baseMs) / headroomMs;
        // How long a missing response would have taken is unknown, so it never counts as a fast one.
        double minRatio = result.outcome() == AttemptOutcome.OK ? -MAX_RATIO : 0;
        return Math.max(minRatio, Math.min(MAX_RATIO, ratio));
    }

    /** Returns the threshold of the mean ratio for a balancer with this limit, in requests in flight. */
    static double threshold(double limit) {
        return HEADROOM_THRESHOLD * Math.max(MIN_THRESHOLD_FRACTION, Math.min(1, limit / FULL_THRESHOLD_LIMIT));
    }

    /** Adds a ratio to the mean. With a small limit there are few responses per second, so each one has more weight. */
    void record(double ratio, double limit) {
        meanRatio += Math.max(MIN_SMOOTHING_FACTOR, 1 / (2 + 2 * limit)) * (ratio - meanRatio);
    }

    double meanRatio() {
        return meanRatio;
    }

    /** Sets the mean ratio back, so that responses from before a decrease do not cause another. */
    void resetTo(double ratio) {
        meanRatio = ratio;
    }
}
