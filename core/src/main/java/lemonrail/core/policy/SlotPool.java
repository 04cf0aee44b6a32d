package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import lemonrail.core.balancer.LoadBalancerHost;

/** The bounded pool of slots that requests use, and the candidates that it grows by. */
final class SlotPool {

    /** The most slots in a pool, whatever the fleet's size. */
    static final int MAX_SLOTS = 1024;
    /** The fewest slots that the pool aims for. */
    private static final int MIN_SLOTS = 4;
    /** Slots aimed for, as a multiple of the recent peak of requests in flight. */
    private static final double PEAK_MULTIPLE = 1.25;
    /** The least factor by which an endpoint's cost multiplies its ranks. */
    private static final double MIN_RANK_COST = 0.6;
    /** Ranks follow an endpoint's cost once it has changed by this factor. */
    private static final double RANK_COST_STEP = 1.1;
    /** Weight of a new connect in the connect failure rate. */
    private static final double CONNECT_SMOOTHING_FACTOR = 1.0 / 4;
    /** What a background round leaves of the connect failure rate. */
    private static final double CONNECT_FAILURE_DECAY = 0.99;
    /** Rounds of ranks by which unconnected slots rank behind connected ones if all connects fail. */
    private static final double UNCONNECTED_PENALTY_ROUNDS = 4;

    private final SlotRanking ranking;
    private final SlotEligibility eligibility;
    private final ZoneAffinity zoneAffinity;
    private final LoadBalancerHost host;
    private final List<Slot> slots = new ArrayList<>();
    private final CandidateSlots candidates = new CandidateSlots();
    /** The recent fraction of failures among attempts that had to connect. */
    private double connectFailureRate;

    SlotPool(SlotRanking ranking, SlotEligibility eligibility, ZoneAffinity zoneAffinity, LoadBalancerHost host) {
        this.ranking = ranking;
        this.eligibility = eligibility;
        this.zoneAffinity = zoneAffinity;
        this.host = host;
    }

    /** Returns the first usable free slot of the pool, else the first usable candidate, or null if none. */
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

    /** The order in which requests use slots. */
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

    /** Takes in the result of an attempt that had to connect. */
    void onConnect(boolean failed) {
        connectFailureRate += CONNECT_SMOOTHING_FACTOR * ((failed ? 1 : 0) - connectFailureRate);
    }

    /** Returns whether another slot of the same endpoint has an open connection. */
    boolean hasOtherConnectedSlot(Slot slot) {
        return slots.stream()
                .anyMatch(other -> other != slot && other.endpoint() == slot.endpoint() && other.isConnected());
    }

    /** Takes the slot into the pool if it is a candidate; the endpoint's next slot becomes one. */
    void adopt(double nowMs, Slot slot) {
        EndpointRecord endpoint = slot.endpoint();
        if (endpoint.candidate() == slot) {
            candidates.remove(endpoint);
            endpoint.addSlot(slot.number());
            slots.add(slot);
            updateCandidate(nowMs, endpoint);
        }
    }

    /** Discards a slot; with an endpoint's last one its idle connections are closed. */
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

    /** Makes the endpoint's lowest free slot its candidate if the pool may take one more, else removes it. */
    void updateCandidate(double nowMs, EndpointRecord endpoint) {
        candidates.remove(endpoint);
        if (eligibility.mayAddSlot(nowMs, endpoint)) {
            Slot slot = new Slot(endpoint, endpoint.lowestFreeSlotNumber(), !ranking.isInOtherZone(endpoint));
            slot.setRank(ranking.rank(slot));
            candidates.add(slot);
        }
    }

    /** Adopts the endpoint's latency ratio as its cost if it has changed by more than the step. */
    void updateRankCostIfChanged(double nowMs, EndpointRecord endpoint) {
        double cost = rankCost(endpoint);
        double present = endpoint.rankCost();
        boolean isNearPresent = cost < present * RANK_COST_STEP && cost > present / RANK_COST_STEP;
        if (!isNearPresent) {
            updateRankCost(nowMs, endpoint);
        }
    }

    /** Adopts the endpoint's latency ratio as its cost: slow endpoints get fewer requests. */
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

    /** Computes all ranks anew after places were settled, and the candidates of endpoints without one. */
    void onPlacesSettled(double nowMs) {
        slots.forEach(slot -> slot.setRank(ranking.rank(slot)));
        candidates.rerank(ranking::rank);
        ranking.ring().stream()
                .filter(endpoint -> endpoint.candidate() == null)
                .forEach(endpoint -> updateCandidate(nowMs, endpoint));
    }

    /**
     * Refills or shrinks the pool to the size that the recent peak of requests in flight needs, and replaces free
     * slots by candidates that come before them.
     */
    void refill(double nowMs, double peakInFlight) {
        connectFailureRate *= CONNECT_FAILURE_DECAY;
        double size = Math.min(MAX_SLOTS, Math.max(MIN_SLOTS, Math.ceil(peakInFlight * PEAK_MULTIPLE)));
        while (slots.size() < size && firstCandidate() != null) {
            adopt(nowMs, firstCandidate());
        }
        for (Slot worst = lastFree(); worst != null; worst = lastFree()) {
            boolean isOversized = slots.size() > size;
            if (!isOversized && !hasCandidateBefore(worst)) {
                return;
            }
            discard(worst);
            updateCandidate(nowMs, worst.endpoint());
            if (!isOversized) {
                adopt(nowMs, firstCandidate());
            }
        }
    }

    private boolean hasCandidateBefore(Slot slot) {
        Slot candidate = firstCandidate();
        return candidate != null && compare(candidate, slot) < 0;
    }

    private Slot lastFree() {
        return slots.stream().filter(Slot::isFree).max(this::compare).orElse(null);
    }
}
