package lemonrail.core.balancer;

/** Creates load balancers. Production uses this project's own balancer; experiments replace it. */
public interface LoadBalancerFactory {

    /** Creates a balancer that has no endpoints yet. It acts through {@code host}. */
    LoadBalancer create(BalancerSettings settings, long seed, LoadBalancerHost host);
}
