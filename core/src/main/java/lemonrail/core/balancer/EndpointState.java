package lemonrail.core.balancer;

/** The state of an endpoint in the endpoint list. */
public enum EndpointState {
    GONE,
    READY,
    DRAINING
}
