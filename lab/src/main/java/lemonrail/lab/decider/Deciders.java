package lemonrail.lab.decider;

import java.util.Locale;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.policy.BoxcarLoadBalancer;

/** The deciders that a variant may name. */
public enum Deciders {
    /** The project's own. */
    BOXCAR,
    /** Any server. */
    RANDOM,
    /** Each server in turn. */
    ROUND_ROBIN,
    /** The server with the fewest attempts of this sidecar out. */
    LEAST_OUTSTANDING,
    /** The better of two drawn at random, by attempts out. */
    TWO_CHOICES;

    /** Makes balancers of this kind. */
    public LoadBalancerFactory decider() {
        return this == BOXCAR
                ? BoxcarLoadBalancer::new
                : (settings, seed, host) ->
                        new BaselineLoadBalancer(BaselineLoadBalancer.Rule.valueOf(name()), settings, seed, host);
    }

    /** As a scenario names it. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
