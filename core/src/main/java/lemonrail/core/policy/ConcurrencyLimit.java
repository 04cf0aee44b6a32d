package lemonrail.core.policy;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;

/**
 * The adaptive limit of requests in flight at all endpoints together. It decreases by a factor while responses use too
 * much of the latency headroom, and otherwise increases slowly while it is in use.
 */
final class ConcurrencyLimit {

    /** The initial limit, in requests in flight per endpoint from all balancers together. */
    static final double INITIAL_REQUESTS_PER_ENDPOINT = 4;

    /** The minimum limit, in requests in flight per endpoint from all balancers together. */
    private static final double MIN_REQUESTS_PER_ENDPOINT = 1;
    /** The factor by which the recent peak of requests in flight decays in a background round. */
    private static final double PEAK_DECAY = 0.996;

    private static final double DECREASE_FACTOR = 0.85;
    /** The limit grows quickly until it is this multiple of its initial value. */
    private static final double FAST_GROWTH_MULTIPLE = 2;

    private final int balancers;
    private final SlotRanking ranking;
    private final OverloadSignal overloadSignal = new OverloadSignal();

    private int inFlight;
    private double peakInFlight;
    private double limit;
    /** The capacity to which the limit was last scaled, as a number of warm endpoints. */
    private double capacity;

    private double nextDecreaseMs;
    private double fastGrowthUntilLimit;

    ConcurrencyLimit(BalancerSettings settings, SlotRanking ranking) {
        this.balancers = settings.balancers();
        this.ranking = ranking;
    }

    /**
     * Returns the limit, in requests in flight; below 1 it limits the request rate, see {@link AdmissionController}.
     */
    double current() {
        return limit;
    }

    /** Returns the number of attempts in flight, without those whose response is being streamed. */
    int inFlight() {
        return inFlight;
    }

    /** Scales the limit to a changed capacity, given as a number of warm endpoints. */
    void onCapacityChanged(double newCapacity) {
        if (limit == 0) {
            double initial = INITIAL_REQUESTS_PER_ENDPOINT * newCapacity / balancers;
            limit = Math.min(SlotPool.MAX_SLOTS, Math.max(1, initial));
            fastGrowthUntilLimit = FAST_GROWTH_MULTIPLE * limit;
        } else if (capacity > 0 && newCapacity > 0) {
            // The limit was learned per endpoint, so fewer or cold endpoints must not get the requests of all.
            limit = Math.min(SlotPool.MAX_SLOTS, limit * newCapacity / capacity);
            fastGrowthUntilLimit *= newCapacity / capacity;
        }
        capacity = newCapacity;
    }

    void onAttemptStarted() {
        inFlight++;
        peakInFlight = Math.max(peakInFlight, inFlight);
    }

    /** Records that an attempt no longer occupies its endpoint, because it ended or its response is being streamed. */
    void onAttemptReleased() {
        inFlight--;
    }

    /** Returns the recent peak of attempts in flight, and then decays it; called in each background round. */
    double takePeakInFlight() {
        double peak = peakInFlight;
        peakInFlight = Math.max(inFlight, peakInFlight * PEAK_DECAY);
        return peak;
    }

    /**
     * Adjusts the limit after an attempt has ended; called before the attempt is released.
     *
     * @param ratio the attempt's queueing delay ratio, from {@link OverloadSignal}
     * @param isDemandAboveLimit whether requests within quota were rejected recently
     */
    void onAttemptFinished(
            double nowMs,
            InFlightRequest request,
            Attempt attempt,
            AttemptResult result,
            double ratio,
            boolean isDemandAboveLimit) {
        overloadSignal.record(isLostRequest(attempt, result) ? lostRequestRatio(attempt, ratio) : ratio, limit);
        if (overloadSignal.meanRatio() > threshold()) {
            if (nowMs >= nextDecreaseMs) {
                decrease();
                nextDecreaseMs = nowMs + request.latency().typicalMs();
            }
        } else if (result.outcome() == AttemptOutcome.OK && inFlight * 2 >= limit) {
            increase(isDemandAboveLimit);
        }
    }

    /**
     * Returns whether the request was lost rather than slow: it timed out, but its endpoint has responded to other
     * requests since then, without queueing.
     */
    private boolean isLostRequest(Attempt attempt, AttemptResult result) {
        EndpointRecord endpoint = attempt.endpoint();
        return result.outcome() == AttemptOutcome.TIMED_OUT
                && endpoint.statistics().hasRespondedSince(attempt.startedMs())
                && endpoint.statistics().queueingDelayRatio() < threshold()
                && endpoint.inFlight() <= Math.max(1, limit / ranking.readyEndpoints());
    }

    /**
     * Returns the ratio to record for a lost request, which says no more about load than the endpoint's responses do.
     */
    private static double lostRequestRatio(Attempt attempt, double ratio) {
        return Math.min(ratio, attempt.endpoint().statistics().queueingDelayRatio());
    }

    private void decrease() {
        limit = Math.max(shareOf(MIN_REQUESTS_PER_ENDPOINT), Math.min(limit, peakInFlight + 1) * DECREASE_FACTOR);
        // Where balancers outnumber endpoints the signal is not reset, so that responses from before this decrease may
        // cause another decrease.
        if (growthFactor() >= 1) {
            overloadSignal.resetTo(threshold());
        }
    }

    private void increase(boolean isDemandAboveLimit) {
        // With few balancers, the requests of a draining balancer arrive all at once, and slow steps would reject many.
        boolean mayCatchUp = growthFactor() == 1 && isDemandAboveLimit;
        boolean isFast = (limit < fastGrowthUntilLimit || mayCatchUp) && isHeadroomAmple();
        double step = (isFast ? 1 : 1 / limit) * growthFactor();
        limit = Math.min(SlotPool.MAX_SLOTS, limit + Math.min(limit, step));
    }

    private boolean isHeadroomAmple() {
        return overloadSignal.meanRatio() < threshold() / 2;
    }

    /** Returns whether the overload signal is above half its threshold. */
    boolean isHeadroomHalfUsed() {
        return overloadSignal.meanRatio() > threshold() / 2;
    }

    /** Returns the threshold for the limit, or for the initial limit if the limit is lower. */
    private double threshold() {
        return OverloadSignal.threshold(Math.max(limit, shareOf(INITIAL_REQUESTS_PER_ENDPOINT)));
    }

    /** Returns this balancer's share of the given number of requests in flight per endpoint. */
    private double shareOf(double requestsPerEndpoint) {
        return requestsPerEndpoint * capacity / balancers;
    }

    /**
     * Returns the factor for growth steps that lets all balancers together, whatever their number, add one request per
     * endpoint.
     */
    private double growthFactor() {
        return Math.min(1, (double) ranking.readyEndpoints() / balancers);
    }
}
