package lemonrail.core.policy;

import lemonrail.core.StableHash;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;

/**
 * One endpoint: its entry in the endpoint list, its place on the ring and its use by this balancer. Its measurements
 * are kept separately in {@link EndpointHealth} and {@link EndpointStatistics}.
 */
final class EndpointRecord {

    private final String id;
    private final long hash;
    private final EndpointHealth health = new EndpointHealth();
    private final EndpointStatistics statistics = new EndpointStatistics();

    private Endpoint listEntry;
    private boolean ready;
    /** Whether the balancer has removed it. Results of its remaining attempts then only release their slots. */
    private boolean removed;

    private boolean onRing;
    private long ringOrder;
    private double place = Double.NaN;

    /** A bit set of the numbers of its slots in the pool. */
    private long slotsInPool;

    private Slot candidate;
    private int inFlight;
    /** The factor by which its slots' ranks are multiplied. */
    private double rankCost = 1;

    EndpointRecord(Endpoint listEntry) {
        this.id = listEntry.id();
        this.listEntry = listEntry;
        this.hash = StableHash.of(id);
    }

    String id() {
        return id;
    }

    long hash() {
        return hash;
    }

    EndpointHealth health() {
        return health;
    }

    EndpointStatistics statistics() {
        return statistics;
    }

    /** Returns its entry in the endpoint list. */
    Endpoint listEntry() {
        return listEntry;
    }

    /** Returns whether it is listed as ready; false before the first call of {@link #setListEntry}. */
    boolean isReady() {
        return ready;
    }

    void setListEntry(Endpoint entry) {
        listEntry = entry;
        ready = entry.state() == EndpointState.READY;
        if (!ready) {
            place = Double.NaN;
        }
    }

    boolean isRemoved() {
        return removed;
    }

    void markRemoved() {
        removed = true;
    }

    /** Returns whether it is on the ring: it is ready, or was ready at the last placement. */
    boolean isOnRing() {
        return onRing;
    }

    void setOnRing(boolean nowOnRing) {
        onRing = nowOnRing;
    }

    long ringOrder() {
        return ringOrder;
    }

    void setRingOrder(long order) {
        ringOrder = order;
    }

    boolean hasPlace() {
        return !Double.isNaN(place);
    }

    /** Returns its place on the ring, the same at each balancer with the same list; NaN while it has none. */
    double place() {
        return place;
    }

    void setPlace(double newPlace) {
        place = newPlace;
    }

    double rankCost() {
        return rankCost;
    }

    void setRankCost(double cost) {
        rankCost = cost;
    }

    void addSlot(int number) {
        slotsInPool |= 1L << number;
    }

    void removeSlot(int number) {
        slotsInPool &= ~(1L << number);
    }

    boolean hasSlots() {
        return slotsInPool != 0;
    }

    int slotCount() {
        return Long.bitCount(slotsInPool);
    }

    int lowestFreeSlotNumber() {
        return Long.numberOfTrailingZeros(~slotsInPool);
    }

    /** Returns its candidate slot, or null if it has none. */
    Slot candidate() {
        return candidate;
    }

    void setCandidate(Slot slot) {
        candidate = slot;
    }

    /** Returns the number of its attempts in flight, without those whose response is being streamed. */
    int inFlight() {
        return inFlight;
    }

    void onAttemptStarted() {
        inFlight++;
    }

    void onAttemptReleased() {
        inFlight--;
    }

    /** Returns whether the balancer has no slot on it and awaits no response from it. */
    boolean isUnused() {
        return slotsInPool == 0 && inFlight == 0;
    }
}
