package lemonrail.core.policy;

import lemonrail.core.balancer.BalancerSettings;

/** Computes the penalty by which slots of other zones rank behind those of the own zone. */
final class ZoneAffinity {

    /** Slots of other zones rank behind the own zone's slots for this multiple of the typical demand. */
    private static final double DEMAND_MULTIPLE = 3;
    /**
     * Affinity decreases while the queueing delay ratio of the own zone exceeds that of other zones by this multiple of
     * the cross-zone cost.
     */
    private static final double CROSSING_COST_MULTIPLE = 6;
    /** The factor by which affinity decreases in a background round. */
    private static final double STRENGTH_DECREASE_FACTOR = 0.7;
    /** The amount by which affinity increases in any other background round. */
    private static final double STRENGTH_INCREASE = 0.02;
    /** The number of background rounds over which the typical demand is averaged. */
    private static final double AVERAGING_ROUNDS = 200;
    /** Weight of the first sample of the demand. */
    private static final double FIRST_DEMAND_WEIGHT = 0.1;
    /** Weight of a new sample in the queueing delay ratios. */
    private static final double SMOOTHING_FACTOR = 1.0 / 16;

    private final double crossZoneCost;
    private final SlotRanking ranking;
    private double lastRoundMs;
    /** The sum of the base times of the requests that arrived since the last round. */
    private double demandMs;
    /** The typical number of requests in flight, computed from their base times. */
    private double typicalRequestsInFlight;
    /** The penalty that is added to the ranks of other zones' slots. */
    private double rankPenalty;
    /** The strength of affinity, from 0 for none to 1. */
    private double strength = 1;

    private double ownZoneQueueingDelayRatio;
    private double otherZonesQueueingDelayRatio;

    ZoneAffinity(BalancerSettings settings, SlotRanking ranking) {
        this.crossZoneCost = settings.crossZoneCost();
        this.ranking = ranking;
    }

    /** Returns the penalty that is added to the ranks of this endpoint's slots; 0 in the own zone. */
    double rankPenalty(EndpointRecord endpoint) {
        return ranking.isInOtherZone(endpoint) ? rankPenalty : 0;
    }

    /** Records a request; {@code baseMs} is its class's response time without queueing. */
    void onRequest(double baseMs) {
        demandMs += baseMs;
    }

    /** Records the queueing delay ratio of an attempt at this endpoint. */
    void onQueueingDelay(EndpointRecord endpoint, double ratio) {
        if (ranking.isInOtherZone(endpoint)) {
            otherZonesQueueingDelayRatio += SMOOTHING_FACTOR * (ratio - otherZonesQueueingDelayRatio);
        } else {
            ownZoneQueueingDelayRatio += SMOOTHING_FACTOR * (ratio - ownZoneQueueingDelayRatio);
        }
    }

    /** Updates demand, strength and penalty; called in each background round. */
    void onBackgroundRound(double nowMs, double roundMs) {
        double elapsedMs = nowMs - lastRoundMs;
        lastRoundMs = nowMs;
        double rounds = Math.min(elapsedMs / roundMs, AVERAGING_ROUNDS);
        updateDemand(elapsedMs, rounds);
        updateStrength(rounds);
        rankPenalty = ranking.readyInOwnZone() == 0
                ? 0
                : strength
                        * DEMAND_MULTIPLE
                        * (typicalRequestsInFlight + 1)
                        * ranking.balancers()
                        / ranking.readyInOwnZone();
    }

    private void updateDemand(double elapsedMs, double rounds) {
        double requestsInFlight = demandMs / Math.max(elapsedMs, 1);
        demandMs = 0;
        boolean isFirst = typicalRequestsInFlight == 0;
        // A sudden burst must not count as typical demand, so it counts as at most twice the typical demand plus one.
        double countedRequests =
                isFirst ? requestsInFlight : Math.min(requestsInFlight, 2 * typicalRequestsInFlight + 1);
        double weight = isFirst ? FIRST_DEMAND_WEIGHT : rounds / AVERAGING_ROUNDS;
        typicalRequestsInFlight += weight * (countedRequests - typicalRequestsInFlight);
    }

    private void updateStrength(double rounds) {
        boolean isCrossingWorthwhile =
                ownZoneQueueingDelayRatio > otherZonesQueueingDelayRatio + CROSSING_COST_MULTIPLE * crossZoneCost;
        strength =
                isCrossingWorthwhile ? strength * STRENGTH_DECREASE_FACTOR : Math.min(1, strength + STRENGTH_INCREASE);
        // The load of other zones is known only from requests sent there. Without any, they are gradually assumed to be
        // idle.
        otherZonesQueueingDelayRatio *= 1 - rounds / AVERAGING_ROUNDS;
    }
}
