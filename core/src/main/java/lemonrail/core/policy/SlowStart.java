package lemonrail.core.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.core.AdmissionRate;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.SlowStartSettings;

/** Limits the requests to endpoints that have just started, see docs/design/cold-ramp.md. */
final class SlowStart {

    /** Requests that a warm endpoint is certain to serve within the overload window. */
    private static final double CERTAIN_REQUESTS = 3 * ConcurrencyLimit.INITIAL_REQUESTS_PER_ENDPOINT;
    /**
     * The fraction of the overload multiple that is used. The rest is a margin for random variation and missing
     * estimates.
     */
    private static final double OVERLOAD_MULTIPLE_FRACTION = 0.5;

    private final SlowStartSettings settings;
    private final SlotRanking ranking;
    private final AdmissionRate admissionRate = new AdmissionRate();
    private final Set<EndpointRecord> warmingUp = new LinkedHashSet<>();

    SlowStart(BalancerSettings settings, SlotRanking ranking) {
        this.settings = settings.slowStart();
        this.ranking = ranking;
    }

    /** Records a request; {@code wasForwarded} says whether it was sent to an endpoint. */
    void onRequest(boolean wasForwarded) {
        admissionRate.recordRequest(wasForwarded);
    }

    void onSuccess() {
        admissionRate.recordServed();
    }

    /** Returns the fraction of its full load that an endpoint can take now; 1 once it is warm. */
    double warmUpFraction(double nowMs, EndpointRecord endpoint) {
        return settings.warmUpFraction(nowMs, endpoint.listEntry().startedMs());
    }

    boolean isWarmingUp(double nowMs, EndpointRecord endpoint) {
        return warmUpFraction(nowMs, endpoint) < 1;
    }

    /**
     * Returns whether the endpoint can take a request on this slot. While it warms up, only slots of low rank may be
     * used, so that all balancers together do not send it more than it can take.
     */
    boolean allows(double nowMs, Slot slot) {
        double fraction = warmUpFraction(nowMs, slot.endpoint());
        return fraction >= 1 || ranking.idealRank(slot) < fraction * warmRequestsInFlight(slot.endpoint());
    }

    /** Returns the requests in flight from all balancers that the endpoint may have once it is warm. */
    private double warmRequestsInFlight(EndpointRecord endpoint) {
        double weight = ranking.relativeWeight(endpoint);
        double evenShare = ranking.balancers() * weight / Math.max(1, ranking.readyEndpoints());
        double multiple = settings.overloadMultiple();
        double requestsIfAllServed = multiple * OVERLOAD_MULTIPLE_FRACTION * evenShare;
        double prior = Math.min(1, (multiple - 1) * CERTAIN_REQUESTS * weight / requestsIfAllServed);
        double limitedByAdmissionRate = Math.min(evenShare, requestsIfAllServed * admissionRate.estimate(prior));
        return Math.max(ConcurrencyLimit.INITIAL_REQUESTS_PER_ENDPOINT, limitedByAdmissionRate);
    }

    /** Records a new list entry of an endpoint. */
    void onEntryUpdated(double nowMs, EndpointRecord endpoint) {
        if (isWarmingUp(nowMs, endpoint)) {
            warmingUp.add(endpoint);
        }
    }

    /** Returns the capacity of all ready endpoints, as a number of warm ones. */
    double capacity(double nowMs) {
        return ranking.readyEndpoints()
                - warmingUp.stream()
                        .filter(EndpointRecord::isReady)
                        .mapToDouble(
                                endpoint -> (1 - warmUpFraction(nowMs, endpoint)) * ranking.relativeWeight(endpoint))
                        .sum();
    }

    /** Runs the action for each endpoint that is warming up or has just become warm. */
    void forEachWarmingUp(double nowMs, Consumer<EndpointRecord> action) {
        List.copyOf(warmingUp).forEach(action);
        warmingUp.removeIf(endpoint -> !isWarmingUp(nowMs, endpoint));
    }

    void remove(EndpointRecord endpoint) {
        warmingUp.remove(endpoint);
    }
}
