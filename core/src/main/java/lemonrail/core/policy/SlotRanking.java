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
 * Ranks slots, and gives ready endpoints the places on the ring that ranks rest on. All balancers with the same list
 * compute the same places, and each starts at another point of the ring, so that together they spread their requests
 * evenly without talking to each other.
 */
final class SlotRanking {

    /** An endpoint of twice the cost moves back by this part of a round of ranks. */
    private static final double ROUNDS_PER_EXCESS_COST = 0.5;
    /** Moves ranks off 0, so that an endpoint's cost moves its first slot too. */
    private static final double RANK_OFFSET = 0.5;

    private final int balancers;
    private final int balancerIndex;
    private final int zone;
    private final boolean weighted;

    /** The ready endpoints and those that were ready when places were last settled, in the order of then. */
    private final List<EndpointRecord> ring = new ArrayList<>();

    private double meanWeight = 1;
    private int unsettledChanges;
    private int readyEndpoints;
    private int readyInOwnZone;

    SlotRanking(BalancerSettings settings) {
        balancers = settings.balancers();
        balancerIndex = settings.balancerIndex();
        zone = settings.zone();
        weighted = settings.weighted();
    }

    /** Returns how many balancers call the same endpoints. */
    int balancers() {
        return balancers;
    }

    /** Returns how many changes of the list wait for {@link #settle}. */
    int unsettledChanges() {
        return unsettledChanges;
    }

    /** Returns how many endpoints are listed as ready. */
    int readyEndpoints() {
        return readyEndpoints;
    }

    /** Returns how many ready endpoints of the own zone there were when places were last settled. */
    int readyInOwnZone() {
        return readyInOwnZone;
    }

    List<EndpointRecord> ring() {
        return Collections.unmodifiableList(ring);
    }

    /** Takes in an endpoint's new entry; it counts as ready at once, its place changes with {@link #settle}. */
    void onListed(EndpointRecord endpoint, Endpoint entry) {
        if (movesPlaces(endpoint, entry)) {
            unsettledChanges++;
        }
        readyEndpoints -= endpoint.isReady() ? 1 : 0;
        endpoint.setListed(entry);
        readyEndpoints += endpoint.isReady() ? 1 : 0;
        if (endpoint.isReady() && !endpoint.isOnRing()) {
            endpoint.setOnRing(true);
            ring.add(endpoint);
        }
    }

    private static boolean movesPlaces(EndpointRecord endpoint, Endpoint entry) {
        boolean becomesReady = entry.state() == EndpointState.READY;
        if (endpoint.isReady() != becomesReady) {
            return true;
        }
        Endpoint before = endpoint.listed();
        return becomesReady && (entry.weight() != before.weight() || entry.zone() != before.zone());
    }

    /** Gives each ready endpoint its place. */
    void settle() {
        unsettledChanges = 0;
        readyInOwnZone = 0;
        ring.forEach(endpoint -> endpoint.setOnRing(endpoint.isReady()));
        ring.removeIf(endpoint -> !endpoint.isReady());
        int ringNumber = ringNumber();
        double weightSum = 0;
        for (EndpointRecord endpoint : ring) {
            readyInOwnZone += isInOtherZone(endpoint) ? 0 : 1;
            weightSum += endpoint.listed().weight();
            endpoint.setRingOrder(RingPlacement.order(endpoint.hash(), ringNumber));
        }
        meanWeight = readyEndpoints == 0 || weightSum <= 0 ? 1 : weightSum / readyEndpoints;
        // The ring is nearly in order from the last time, which makes this sort fast.
        ring.sort(Comparator.comparingLong(EndpointRecord::ringOrder).thenComparing(EndpointRecord::id));
        RingPlacement.place(
                ring,
                endpoint -> endpoint.listed().zone(),
                this::relativeWeight,
                (endpoint, place) -> endpoint.setPlace(balancers * place));
    }

    /**
     * Returns which ring this balancer uses. Where balancers outnumber endpoints there are several, so that balancers
     * that leave a full endpoint do not all go on to the same next one.
     */
    private int ringNumber() {
        return balancerIndex % Integer.highestOneBit(Math.max(1, balancers / Math.max(1, readyEndpoints)));
    }

    /** Returns the rank that slots are used by: the ideal rank, raised by the endpoint's cost. */
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

    /** Returns the endpoint's weight relative to the mean; 1 if weights do not count. */
    double relativeWeight(EndpointRecord endpoint) {
        double weight = endpoint.listed().weight();
        return weighted && weight > 0 ? weight / meanWeight : 1;
    }

    boolean isInOtherZone(EndpointRecord endpoint) {
        return endpoint.listed().zone() != zone;
    }
}
