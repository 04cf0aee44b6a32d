package lemonrail.core.policy;

/** A slot: the right to have one attempt in flight at one endpoint. Slots are ordered by rank. */
final class Slot implements Comparable<Slot> {

    /** The current use of the slot. */
    private enum Use {
        FREE,
        AWAITING_RESPONSE,
        /** The endpoint has processed the request; only the connection is in use. */
        STREAMING_RESPONSE
    }

    private final EndpointRecord endpoint;
    private final int number;
    private final boolean offeredInOwnZone;
    private double rank;
    private Use use = Use.FREE;
    private boolean connected;
    private boolean discarded;

    /** Creates a free slot; {@code offeredInOwnZone} says whether its endpoint is currently in the balancer's zone. */
    Slot(EndpointRecord endpoint, int number, boolean offeredInOwnZone) {
        this.endpoint = endpoint;
        this.number = number;
        this.offeredInOwnZone = offeredInOwnZone;
    }

    EndpointRecord endpoint() {
        return endpoint;
    }

    /** Returns its number among the endpoint's slots, from 0. */
    int number() {
        return number;
    }

    /** Returns whether the endpoint was in the balancer's zone when the slot became a candidate. */
    boolean wasOfferedInOwnZone() {
        return offeredInOwnZone;
    }

    double rank() {
        return rank;
    }

    void setRank(double newRank) {
        rank = newRank;
    }

    boolean isFree() {
        return use == Use.FREE;
    }

    boolean isStreaming() {
        return use == Use.STREAMING_RESPONSE;
    }

    void onAttemptStarted() {
        use = Use.AWAITING_RESPONSE;
    }

    void onResponseStreamStarted() {
        use = Use.STREAMING_RESPONSE;
    }

    void onAttemptFinished() {
        use = Use.FREE;
    }

    /** Returns whether its last attempt left a connection open. */
    boolean isConnected() {
        return connected;
    }

    void setConnected(boolean nowConnected) {
        connected = nowConnected;
    }

    /** Returns whether it has left the pool; an attempt may still be in flight on it. */
    boolean isDiscarded() {
        return discarded;
    }

    void markDiscarded() {
        discarded = true;
    }

    @Override
    public int compareTo(Slot other) {
        int order = Double.compare(rank, other.rank);
        order = order != 0 ? order : Long.compare(endpoint.hash(), other.endpoint.hash());
        order = order != 0 ? order : endpoint.id().compareTo(other.endpoint.id());
        return order != 0 ? order : Integer.compare(number, other.number);
    }
}
