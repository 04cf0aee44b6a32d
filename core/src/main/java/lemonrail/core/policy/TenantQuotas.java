package lemonrail.core.policy;

import lemonrail.core.TokenBucket;
import lemonrail.core.balancer.BalancerSettings;

/** This balancer's share of each tenant's quota. Quotas apply on the first tier only. */
final class TenantQuotas {

    /** The burst capacity of a tenant, as seconds of its quota. */
    private static final double BURST_SECONDS = 2;

    private static final double MS_PER_SECOND = 1000;

    private final TokenBucket[] buckets;
    private BalancerSettings settings;

    TenantQuotas(BalancerSettings settings) {
        buckets = new TokenBucket[settings.tenants().size()];
        for (int tenant = 0; tenant < buckets.length; tenant++) {
            buckets[tenant] = new TokenBucket(0, 0);
        }
        onSettings(settings);
    }

    /** Applies changed quotas. Saved tokens are kept. */
    void onSettings(BalancerSettings changed) {
        settings = changed;
        for (int tenant = 0; tenant < buckets.length; tenant++) {
            double requestsPerSecond = settings.tenants().get(tenant).requestsPerSecond();
            double tokensPerMs = requestsPerSecond / settings.balancers() / MS_PER_SECOND;
            buckets[tenant].setRate(tokensPerMs, 1 + BURST_SECONDS * MS_PER_SECOND * tokensPerMs);
        }
    }

    /** Charges a request to its tenant and returns whether it is within quota. */
    boolean charge(double nowMs, int tenant) {
        return settings.tier() > 0 || buckets.length == 0 || buckets[tenant].tryTake(nowMs);
    }
}
