package lemonrail.core.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import lemonrail.core.AdmissionRate;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.SlowStartSettings;

/** Limits the requests to endpoints that have just started: see docs/design/cold-ramp.md. */
final class SlowStart {

    /** Requests that a warm endpoint certainly serves within the overload window. */
    private static final double CERTAIN_REQUESTS = 3 * ConcurrencyLimit.INITIAL_REQUESTS_PER_ENDPOINT;
    /** The fraction of the overload multiple that is used; the rest covers chance and what is not known yet. */
    private static final double OVERLOAD_MULTIPLE_FRACTION = 0.5;

    private final SlowStartSettings settings;
    private final SlotRanking ranking;
    private final AdmissionRate admissionRate = new AdmissionRate();
    private final Set<EndpointRecord> warmingUp = new LinkedHashSet<>();

    SlowStart(BalancerSettings settings, SlotRanking ranking) {
        this.settings = settings.slowStart();
        this.ranking = ranking;
    }

    /** Takes in a request; {@code wasForwarded} tells whether it was sent to an endpoint. */
    void onRequest(boolean wasForwarded) {
        admissionRate.recordRequest(wasForwarded);
    }

    void onSuccess() {
        admissionRate.recordServed();
    }

    /** Returns the fraction of its full load that an endpoint can take now; 1 once it is warm. */
    double warmUpFraction(double nowMs, EndpointRecord endpoint) {
        return settings.warmUpFraction(nowMs, endpoint.listed().startedMs());
    }

    boolean isWarmingUp(double nowMs, EndpointRecord endpoint) {
        return warmUpFraction(nowMs, endpoint) < 1;
    }

    /**
     * Returns whether the endpoint can take a request on this slot. While it warms up only slots of low rank may be
     * used, so that all balancers together send it no more than it can take.
     */
    boolean allows(double nowMs, Slot slot) {
        double fraction = warmUpFraction(nowMs, slot.endpoint());
        return fraction >= 1 || ranking.idealRank(slot) < fraction * warmRequestsInFlight(slot.endpoint());
    }

    /** Returns the requests in flight, of all balancers, that the endpoint may have once it is warm. */
    private double warmRequestsInFlight(EndpointRecord endpoint) {
        double weight = ranking.relativeWeight(endpoint);
        double evenPart = ranking.balancers() * weight / Math.max(1, ranking.readyEndpoints());
        double multiple = settings.overloadMultiple();
        double ifAllServed = multiple * OVERLOAD_MULTIPLE_FRACTION * evenPart;
        double prior = Math.min(1, (multiple - 1) * CERTAIN_REQUESTS * weight / ifAllServed);
        double paced = Math.min(evenPart, ifAllServed * admissionRate.estimate(prior));
        return Math.max(ConcurrencyLimit.INITIAL_REQUESTS_PER_ENDPOINT, paced);
    }

    /** Takes in that an endpoint was listed. */
    void onListed(double nowMs, EndpointRecord endpoint) {
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

    /** Passes on each endpoint that is warming up or has just become warm. */
    void forEachWarmingUp(double nowMs, Consumer<EndpointRecord> action) {
        List.copyOf(warmingUp).forEach(action);
        warmingUp.removeIf(endpoint -> !isWarmingUp(nowMs, endpoint));
    }

    void forget(EndpointRecord endpoint) {
        warmingUp.remove(endpoint);
    }
}
