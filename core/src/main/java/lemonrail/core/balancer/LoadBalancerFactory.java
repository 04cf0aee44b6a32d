package lemonrail.core.balancer;

/** Creates load balancers. Every installation has the project's own; experiments replace it. */
public interface LoadBalancerFactory {

    /** Creates a balancer that knows its settings and nothing else; it acts through {@code host}. */
    LoadBalancer create(BalancerSettings settings, long seed, LoadBalancerHost host);
}
