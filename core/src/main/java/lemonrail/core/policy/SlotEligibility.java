package lemonrail.core.policy;

import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Idempotency;

/** Decides which slots may be used: by the pool at all, and by one request. */
final class SlotEligibility {

    /** Slots on one endpoint; the bit mask in {@link EndpointRecord} has no room for more. */
    private static final int MAX_SLOTS_PER_ENDPOINT = 62;
    /** While responses are slow, no endpoint may take more than this multiple of what the limit stands for. */
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

    /** Returns whether the pool may take one more slot on the endpoint. */
    boolean mayAddSlot(double nowMs, EndpointRecord endpoint) {
        if (endpoint.isForgotten() || !endpoint.isReady() || !endpoint.hasPlace()) {
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

    /** A request that cannot be repeated must not be the probe, if there are classes that can. */
    private boolean isProbeToAvoid(InFlightRequest request, EndpointRecord endpoint) {
        return endpoint.health().isOutlier()
                && request.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT
                && hasRepeatableClass;
    }

    /** Prevents a cascade: while responses are slow, requests that leave one endpoint must not overload the next. */
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
                        .includesBoth(first.endpoint().listed(), endpoint.listed());
    }
}
