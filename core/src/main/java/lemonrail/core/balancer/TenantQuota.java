package lemonrail.core.balancer;

/**
 * A tenant's quota.
 *
 * @param name the tenant's name in the settings
 * @param requestsPerSecond the rate of requests that is within quota, over all balancers
 * @param share the tenant's share of the service
 */
public record TenantQuota(String name, double requestsPerSecond, double share) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public TenantQuota {
        Checks.requireNonNegative("tenants[].allowance", requestsPerSecond);
        Checks.requireFinite("tenants[].allowance", requestsPerSecond);
        Checks.requireNonNegative("tenants[].share", share);
    }
}
