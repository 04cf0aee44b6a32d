package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import lemonrail.core.balancer.LoadBalancerHost;

/** The bounded pool of slots that requests use, and the candidates that may be added to it. */
final class SlotPool {

    /** The maximum number of slots in a pool, for any fleet size. */
    static final int MAX_SLOTS = 1024;
    /** The minimum of the pool's target size. */
    private static final int MIN_SLOTS = 4;
    /** The pool's target size, as a multiple of the recent peak of requests in flight. */
    private static final double PEAK_MULTIPLE = 1.25;
    /** The minimum cost of an endpoint, by which its ranks are multiplied. */
    private static final double MIN_RANK_COST = 0.6;
    /** Ranks are updated once an endpoint's cost has changed by this factor. */
    private static final double RANK_COST_STEP = 1.1;
    /** Weight of a new connect in the connect failure rate. */
    private static final double CONNECT_SMOOTHING_FACTOR = 1.0 / 4;
    /** The factor by which the connect failure rate decays in a background round. */
    private static final double CONNECT_FAILURE_DECAY = 0.99;
    /** The penalty of unconnected slots if all connects fail, in rounds of ranks. A round is one rank per balancer. */
    private static final double UNCONNECTED_PENALTY_ROUNDS = 4;

    private final SlotRanking ranking;
    private final SlotEligibility eligibility;
    private final ZoneAffinity zoneAffinity;
    private final LoadBalancerHost host;
    private final List<Slot> slots = new ArrayList<>();
    private final CandidateSlots candidates = new CandidateSlots();
    /** The recent fraction of failed connects among attempts that had to connect. */
    private double connectFailureRate;

    SlotPool(SlotRanking ranking, SlotEligibility eligibility, ZoneAffinity zoneAffinity, LoadBalancerHost host) {
        this.ranking = ranking;
        this.eligibility = eligibility;
        this.zoneAffinity = zoneAffinity;
        this.host = host;
    }

    /**
     * Returns the best usable free slot of the pool, or else the best usable candidate, or null if there is neither.
     */
    Slot firstUsable(Predicate<Slot> usable) {
        Slot best = null;
        for (Slot slot : slots) {
            if (slot.isFree() && (best == null || compare(slot, best) < 0) && usable.test(slot)) {
                best = slot;
            }
        }
        if (best != null || slots.size() >= MAX_SLOTS) {
            return best;
        }
        return candidates.first(usable, this::compare);
    }

    private Slot firstCandidate() {
        return candidates.first(this::compare);
    }

    /** Compares slots by the order in which requests use them. */
    private int compare(Slot one, Slot other) {
        int order = Double.compare(effectiveRank(one), effectiveRank(other));
        return order != 0 ? order : one.compareTo(other);
    }

    /** Returns the rank with the penalties for another zone and for a connection that must be opened first. */
    private double effectiveRank(Slot slot) {
        double connectPenalty =
                slot.isConnected() ? 0 : connectFailureRate * UNCONNECTED_PENALTY_ROUNDS * ranking.balancers();
        return slot.rank() + zoneAffinity.rankPenalty(slot.endpoint()) + connectPenalty;
    }

    /** Records whether an attempt that had to connect failed to do so. */
    void onConnect(boolean failed) {
        connectFailureRate += CONNECT_SMOOTHING_FACTOR * ((failed ? 1 : 0) - connectFailureRate);
    }

    /** Returns whether another slot of the same endpoint has an open connection. */
    boolean hasOtherConnectedSlot(Slot slot) {
        return slots.stream()
                .anyMatch(other -> other != slot && other.endpoint() == slot.endpoint() && other.isConnected());
    }

    /** Adds the slot to the pool if it is a candidate. The endpoint's next slot then becomes its candidate. */
    void addIfCandidate(double nowMs, Slot slot) {
        EndpointRecord endpoint = slot.endpoint();
        if (endpoint.candidate() == slot) {
            candidates.remove(endpoint);
            endpoint.addSlot(slot.number());
            slots.add(slot);
            updateCandidate(nowMs, endpoint);
        }
    }

    /** Discards a slot. If its endpoint has no use left, also closes that endpoint's idle connections. */
    void discard(Slot slot) {
        if (slot.isDiscarded()) {
            return;
        }
        slot.markDiscarded();
        slots.remove(slot);
        EndpointRecord endpoint = slot.endpoint();
        endpoint.removeSlot(slot.number());
        if (endpoint.isUnused()) {
            host.closeIdleConnections(endpoint.id());
        }
    }

    /** Discards all slots of an endpoint. */
    void discardAll(EndpointRecord endpoint) {
        List.copyOf(slots).stream().filter(slot -> slot.endpoint() == endpoint).forEach(this::discard);
    }

    /**
     * Makes the endpoint's lowest free slot number its candidate if the pool may add one more slot, or removes its
     * candidate.
     */
    void updateCandidate(double nowMs, EndpointRecord endpoint) {
        candidates.remove(endpoint);
        if (eligibility.mayAddSlot(nowMs, endpoint)) {
            Slot slot = new Slot(endpoint, endpoint.lowestFreeSlotNumber(), !ranking.isInOtherZone(endpoint));
            slot.setRank(ranking.rank(slot));
            candidates.add(slot);
        }
    }

    /**
     * Updates the endpoint's cost, and the ranks of its slots, if its cost has changed by at least the factor
     * {@link #RANK_COST_STEP}.
     */
    void updateRankCostIfChanged(double nowMs, EndpointRecord endpoint) {
        double cost = rankCost(endpoint);
        double currentCost = endpoint.rankCost();
        boolean isNearCurrentCost = cost < currentCost * RANK_COST_STEP && cost > currentCost / RANK_COST_STEP;
        if (!isNearCurrentCost) {
            updateRankCost(nowMs, endpoint);
        }
    }

    /**
     * Sets the endpoint's cost to its latency ratio, or to the minimum cost if that is higher, and updates the ranks of
     * its slots, so that slow endpoints get fewer requests.
     */
    void updateRankCost(double nowMs, EndpointRecord endpoint) {
        endpoint.setRankCost(rankCost(endpoint));
        if (endpoint.hasSlots()) {
            slots.stream()
                    .filter(slot -> slot.endpoint() == endpoint)
                    .forEach(slot -> slot.setRank(ranking.rank(slot)));
        }
        updateCandidate(nowMs, endpoint);
    }

    private static double rankCost(EndpointRecord endpoint) {
        return Math.max(MIN_RANK_COST, endpoint.statistics().latencyRatio());
    }

    /** Updates all ranks after a placement, and the candidate of each endpoint that has none. */
    void onPlacesAssigned(double nowMs) {
        slots.forEach(slot -> slot.setRank(ranking.rank(slot)));
        candidates.rerank(ranking::rank);
        ranking.ring().stream()
                .filter(endpoint -> endpoint.candidate() == null)
                .forEach(endpoint -> updateCandidate(nowMs, endpoint));
    }

    /**
     * Grows or shrinks the pool to the size needed for the recent peak of requests in flight, and replaces free slots
     * by better candidates.
     */
    void refill(double nowMs, double peakInFlight) {
        connectFailureRate *= CONNECT_FAILURE_DECAY;
        double targetSize = Math.min(MAX_SLOTS, Math.max(MIN_SLOTS, Math.ceil(peakInFlight * PEAK_MULTIPLE)));
        while (slots.size() < targetSize && firstCandidate() != null) {
            addIfCandidate(nowMs, firstCandidate());
        }
        for (Slot worst = worstFreeSlot(); worst != null; worst = worstFreeSlot()) {
            boolean isOversized = slots.size() > targetSize;
            if (!isOversized && !hasBetterCandidate(worst)) {
                return;
            }
            discard(worst);
            updateCandidate(nowMs, worst.endpoint());
            if (!isOversized) {
                addIfCandidate(nowMs, firstCandidate());
            }
        }
    }

    private boolean hasBetterCandidate(Slot slot) {
        Slot candidate = firstCandidate();
        return candidate != null && compare(candidate, slot) < 0;
    }

    private Slot worstFreeSlot() {
        return slots.stream().filter(Slot::isFree).max(this::compare).orElse(null);
    }
}
