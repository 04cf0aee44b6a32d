package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import lemonrail.core.RingPlacement;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;

/**
 * Ranks slots, and assigns ready endpoints the places on the ring from which ranks are computed. All balancers with the
 * same list compute the same places, and each starts at a different point of the ring, so that together they spread
 * their requests evenly without communication.
 */
final class SlotRanking {

    /** Rounds of ranks by which an endpoint moves back per unit of cost above 1. A round is one rank per balancer. */
    private static final double ROUNDS_PER_EXCESS_COST = 0.5;
    /** An offset that keeps ranks above 0, so that an endpoint's cost also affects its first slot. */
    private static final double RANK_OFFSET = 0.5;

    private final int balancers;
    private final int balancerIndex;
    private final int zone;
    private final boolean weighted;

    /** The ready endpoints and those that were ready at the last placement, in ring order as of that placement. */
    private final List<EndpointRecord> ring = new ArrayList<>();

    private double meanWeight = 1;
    private int pendingPlaceChanges;
    private int readyEndpoints;
    private int readyInOwnZone;

    SlotRanking(BalancerSettings settings) {
        balancers = settings.balancers();
        balancerIndex = settings.balancerIndex();
        zone = settings.zone();
        weighted = settings.weighted();
    }

    /** Returns the number of balancers that send requests to the same endpoints. */
    int balancers() {
        return balancers;
    }

    /** Returns the number of changes of the list since the last {@link #assignPlaces} that affect places. */
    int pendingPlaceChanges() {
        return pendingPlaceChanges;
    }

    /** Returns the number of endpoints that are listed as ready. */
    int readyEndpoints() {
        return readyEndpoints;
    }

    /** Returns the number of ready endpoints in the own zone at the last placement. */
    int readyInOwnZone() {
        return readyInOwnZone;
    }

    List<EndpointRecord> ring() {
        return Collections.unmodifiableList(ring);
    }

    /**
     * Applies an endpoint's new entry. Its readiness changes immediately, its place only with the next
     * {@link #assignPlaces}.
     */
    void onEntryUpdated(EndpointRecord endpoint, Endpoint entry) {
        if (changesPlaces(endpoint, entry)) {
            pendingPlaceChanges++;
        }
        readyEndpoints -= endpoint.isReady() ? 1 : 0;
        endpoint.setListEntry(entry);
        readyEndpoints += endpoint.isReady() ? 1 : 0;
        if (endpoint.isReady() && !endpoint.isOnRing()) {
            endpoint.setOnRing(true);
            ring.add(endpoint);
        }
    }

    private static boolean changesPlaces(EndpointRecord endpoint, Endpoint entry) {
        boolean becomesReady = entry.state() == EndpointState.READY;
        if (endpoint.isReady() != becomesReady) {
            return true;
        }
        Endpoint before = endpoint.listEntry();
        return becomesReady && (entry.weight() != before.weight() || entry.zone() != before.zone());
    }

    /** Assigns each ready endpoint its place. */
    void assignPlaces() {
        pendingPlaceChanges = 0;
        readyInOwnZone = 0;
        ring.forEach(endpoint -> endpoint.setOnRing(endpoint.isReady()));
        ring.removeIf(endpoint -> !endpoint.isReady());
        int ringNumber = ringNumber();
        double weightSum = 0;
        for (EndpointRecord endpoint : ring) {
            readyInOwnZone += isInOtherZone(endpoint) ? 0 : 1;
            weightSum += endpoint.listEntry().weight();
            endpoint.setRingOrder(RingPlacement.order(endpoint.hash(), ringNumber));
        }
        meanWeight = readyEndpoints == 0 || weightSum <= 0 ? 1 : weightSum / readyEndpoints;
        // The ring is nearly in order from the previous placement, which makes this sort fast.
        ring.sort(Comparator.comparingLong(EndpointRecord::ringOrder).thenComparing(EndpointRecord::id));
        RingPlacement.place(
                ring,
                endpoint -> endpoint.listEntry().zone(),
                this::relativeWeight,
                (endpoint, place) -> endpoint.setPlace(balancers * place));
    }

    /**
     * Returns the number of the ring that this balancer uses. Where balancers outnumber endpoints there are several
     * rings, so that balancers that leave a full endpoint do not all move to the same next one.
     */
    private int ringNumber() {
        return balancerIndex % Integer.highestOneBit(Math.max(1, balancers / Math.max(1, readyEndpoints)));
    }

    /**
     * Returns the rank that determines the order in which slots are used: the ideal rank adjusted by the endpoint's
     * cost.
     */
    double rank(Slot slot) {
        double cost = slot.endpoint().rankCost();
        return (idealRank(slot) + RANK_OFFSET) * cost + Math.max(0, cost - 1) * balancers * ROUNDS_PER_EXCESS_COST;
    }

    /**
     * Returns the slot's rank among endpoints of equal cost: the number of requests in flight at the endpoint if every
     * balancer uses its slots up to this rank.
     */
    double idealRank(Slot slot) {
        return slot.number() * balancers / relativeWeight(slot.endpoint())
                + (balancerIndex + slot.endpoint().place()) % balancers;
    }

    /** Returns the endpoint's weight relative to the mean; 1 if weights are not used or the endpoint has none. */
    double relativeWeight(EndpointRecord endpoint) {
        double weight = endpoint.listEntry().weight();
        return weighted && weight > 0 ? weight / meanWeight : 1;
    }

    boolean isInOtherZone(EndpointRecord endpoint) {
        return endpoint.listEntry().zone() != zone;
    }
}
