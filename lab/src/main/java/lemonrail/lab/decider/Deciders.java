package lemonrail.lab.decider;

import java.util.Locale;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.policy.BoxcarLoadBalancer;

/** Load balancers that a variant of a scenario can select. */
public enum Deciders {
    /** The load balancer of this project. */
    BOXCAR,
    /** An endpoint drawn at random. */
    RANDOM,
    /** Each endpoint in turn. */
    ROUND_ROBIN,
    /** The endpoint with the fewest outstanding attempts of this sidecar. */
    LEAST_OUTSTANDING,
    /** Of two endpoints drawn at random, the one with fewer outstanding attempts. */
    TWO_CHOICES;

    /** Returns the factory of this load balancer. */
    public LoadBalancerFactory factory() {
        return this == BOXCAR
                ? BoxcarLoadBalancer::new
                : (settings, seed, host) ->
                        new BaselineLoadBalancer(BaselineLoadBalancer.Rule.valueOf(name()), settings, seed, host);
    }

    /** Returns the name by which a scenario selects this load balancer. */
    public String settingName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
