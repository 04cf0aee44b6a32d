package lemonrail.core.balancer;

import java.util.List;

/**
 * The settings of one balancer.
 *
 * @param balancers the number of balancers that send requests to the same endpoints, at least 1
 * @param balancerIndex this balancer's index among them, from 0
 * @param zone this balancer's zone
 * @param tier the number of services between the clients and this balancer; 0 on the first tier
 * @param pollsEndpoints whether the endpoint list is polled; otherwise it is pushed
 * @param weighted whether endpoints get requests in proportion to their weights
 * @param overQuotaWeight the priority weight of a request over its tenant's quota, relative to one within quota
 * @param crossZoneCost the cost of a request to another zone, relative to a response within its objective
 * @param classes the classes of requests, at least one
 * @param tenants the tenants' quotas; empty if requests have no tenants
 * @param limits the limits on attempts
 * @param slowStart the settings for endpoints that have just started
 * @param drain the settings for draining endpoints
 * @param pollIntervalMs the maximum time between two polls of the endpoint list
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
        Checks.requirePositive("balancers", balancers);
        Checks.requireNonNegative("ownNumber", balancerIndex);
        Checks.requireNonNegative("tier", tier);
        Checks.requireNonNegative("overShareWorth", overQuotaWeight);
        Checks.requireNonNegative("crossZonePrice", crossZoneCost);
        Checks.requireFinite("crossZonePrice", crossZoneCost);
        Checks.requireNonNull("limits", limits);
        Checks.requireNonNull("slowStart", slowStart);
        Checks.requireNonNull("drain", drain);
        Checks.requireFinite("rules.askWithin", pollIntervalMs);
        Checks.requirePositive("rules.askWithin", pollIntervalMs);
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
        if (classes.isEmpty()) {
            throw new IllegalArgumentException("setting classes is empty but at least one class is required");
        }
    }

    /**
     * Checks that these settings have the request's class and tenant.
     *
     * @throws IllegalArgumentException naming the request and the unknown class or tenant
     */
    public void check(Request request) {
        if (request.requestClass() < 0 || request.requestClass() >= classes.size()) {
            throw new IllegalArgumentException("request " + request.id() + " has class " + request.requestClass()
                    + ", but the number of classes in the settings is " + classes.size());
        }
        if (request.tenant() < 0 || request.tenant() >= Math.max(1, tenants.size())) {
            throw new IllegalArgumentException("request " + request.id() + " has tenant " + request.tenant()
                    + ", but the number of tenants in the settings is " + tenants.size());
        }
    }
}
