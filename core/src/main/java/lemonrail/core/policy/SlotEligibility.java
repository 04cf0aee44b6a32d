package lemonrail.core.policy;

import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Idempotency;

/** Decides which slots the pool may add and which slots a request may use. */
final class SlotEligibility {

    /** The maximum number of slots on one endpoint, which the bit set in {@link EndpointRecord} limits. */
    private static final int MAX_SLOTS_PER_ENDPOINT = 62;
    /** While responses are slow, an endpoint gets at most this multiple of its share of the concurrency limit. */
    private static final double MAX_LOAD_MULTIPLE = 2;

    private final BalancerSettings settings;
    private final SlotRanking ranking;
    private final SlowStart slowStart;
    private final ConcurrencyLimit limit;
    private final boolean hasRepeatableClass;

    SlotEligibility(BalancerSettings settings, SlotRanking ranking, SlowStart slowStart, ConcurrencyLimit limit) {
        this.settings = settings;
        this.ranking = ranking;
        this.slowStart = slowStart;
        this.limit = limit;
        hasRepeatableClass = settings.classes().stream()
                .anyMatch(requestClass -> requestClass.idempotency() != Idempotency.NON_IDEMPOTENT);
    }

    /** Returns whether the pool may add one more slot on the endpoint. */
    boolean mayAddSlot(double nowMs, EndpointRecord endpoint) {
        if (endpoint.isRemoved() || !endpoint.isReady() || !endpoint.hasPlace()) {
            return false;
        }
        EndpointHealth health = endpoint.health();
        if (health.isBackingOff(nowMs) || endpoint.slotCount() >= maxSlots(nowMs, endpoint)) {
            return false;
        }
        return !health.isOutlier() || endpoint.inFlight() == 0;
    }

    private int maxSlots(double nowMs, EndpointRecord endpoint) {
        boolean isSingle = endpoint.health().isOutlier() || slowStart.isWarmingUp(nowMs, endpoint);
        return isSingle ? 1 : MAX_SLOTS_PER_ENDPOINT;
    }

    /** Returns whether the request's next attempt may use the slot. */
    boolean mayUse(double nowMs, InFlightRequest request, Slot slot) {
        return slowStart.allows(nowMs, slot)
                && !(request.isFirstAttempt() && wouldSpreadOverload(slot))
                && isInDeduplicationScope(request, slot.endpoint());
    }

    /** Returns whether the request should use the endpoint only if no other can serve it. */
    boolean isSecondChoice(InFlightRequest request, EndpointRecord endpoint) {
        return isProbeToAvoid(request, endpoint) || request.hasTried(endpoint);
    }

    /** A request that must not be repeated should not be a probe if other classes can be repeated. */
    private boolean isProbeToAvoid(InFlightRequest request, EndpointRecord endpoint) {
        return endpoint.health().isOutlier()
                && request.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT
                && hasRepeatableClass;
    }

    /**
     * Prevents a cascade of overload: while responses are slow, requests that avoid one endpoint must not overload the
     * next.
     */
    private boolean wouldSpreadOverload(Slot slot) {
        if (settings.tier() != 0 || !limit.isHeadroomHalfUsed()) {
            return false;
        }
        double limitPerEndpoint =
                MAX_LOAD_MULTIPLE * Math.max(1, limit.current()) * settings.balancers() / ranking.readyEndpoints();
        return ranking.idealRank(slot) >= Math.max(ConcurrencyLimit.INITIAL_REQUESTS_PER_ENDPOINT, limitPerEndpoint);
    }

    /** A keyed request that may have run may be repeated only where the repeat is recognised and dropped. */
    private static boolean isInDeduplicationScope(InFlightRequest request, EndpointRecord endpoint) {
        Attempt first = request.firstPossibleExecution();
        return first == null
                || request.requestClass().idempotency() != Idempotency.KEYED
                || request.requestClass()
                        .deduplicationScope()
                        .includesBoth(first.endpoint().listEntry(), endpoint.listEntry());
    }
}
