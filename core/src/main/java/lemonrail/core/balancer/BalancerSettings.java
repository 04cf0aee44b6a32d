package lemonrail.core.balancer;

import java.util.List;

/**
 * The settings of one balancer.
 *
 * @param balancers how many balancers call the same endpoints, at least 1
 * @param balancerIndex this balancer's number among them, from 0
 * @param zone this balancer's zone
 * @param tier how many services stand between the clients and this balancer; 0 for the first
 * @param pollsEndpoints whether the endpoint list is polled; else it is pushed
 * @param weighted whether endpoints' weights count
 * @param overQuotaWeight the priority weight of a request over its tenant's quota, relative to one within
 * @param crossZoneCost the cost of a request to another zone, relative to a response within its objective
 * @param classes the classes of requests, at least one
 * @param tenants the tenants' quotas; none if requests have no tenants
 * @param limits the bounds of attempts
 * @param slowStart the rule on endpoints that have just started
 * @param drain the rule on draining endpoints
 * @param pollIntervalMs the longest time between two polls of the endpoint list
 */
public record BalancerSettings(
        int balancers,
        int balancerIndex,
        int zone,
        int tier,
        boolean pollsEndpoints,
        boolean weighted,
        double overQuotaWeight,
        double crossZoneCost,
        List<RequestClass> classes,
        List<TenantQuota> tenants,
        AttemptLimits limits,
        SlowStartSettings slowStart,
        DrainSettings drain,
        double pollIntervalMs) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public BalancerSettings {
        Checks.positive("balancers", balancers);
        Checks.notNegative("ownNumber", balancerIndex);
        Checks.notNegative("tier", tier);
        Checks.notNegative("overShareWorth", overQuotaWeight);
        Checks.notNegative("crossZonePrice", crossZoneCost);
        Checks.finite("crossZonePrice", crossZoneCost);
        Checks.given("limits", limits);
        Checks.given("slowStart", slowStart);
        Checks.given("drain", drain);
        Checks.finite("rules.askWithin", pollIntervalMs);
        Checks.positive("rules.askWithin", pollIntervalMs);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("setting classes is empty: at least one is needed");
        }
    }

    /**
     * Checks that these settings have the request's class and tenant.
     *
     * @throws IllegalArgumentException naming the request and the class or tenant that is missing
     */
    public void check(Request request) {
        if (request.requestClass() < 0 || request.requestClass() >= classes.size()) {
            throw new IllegalArgumentException("request " + request.id() + " is of class " + request.requestClass()
                    + ", but the settings have " + classes.size());
        }
        if (request.tenant() < 0 || request.tenant() >= Math.max(1, tenants.size())) {
            throw new IllegalArgumentException("request " + request.id() + " is of tenant " + request.tenant()
                    + ", but the settings have " + tenants.size());
        }
    }
}
