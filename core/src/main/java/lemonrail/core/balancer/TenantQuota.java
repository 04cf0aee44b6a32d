package lemonrail.core.balancer;

/**
 * A tenant's quota.
 *
 * @param name the tenant's name in the settings
 * @param requestsPerSecond the requests a second that are within quota, over all balancers
 * @param share the tenant's share of the service
 */
public record TenantQuota(String name, double requestsPerSecond, double share) {

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException naming the value that is out of range
     */
    public TenantQuota {
        Checks.notNegative("tenants[].allowance", requestsPerSecond);
        Checks.finite("tenants[].allowance", requestsPerSecond);
        Checks.notNegative("tenants[].share", share);
    }
}
