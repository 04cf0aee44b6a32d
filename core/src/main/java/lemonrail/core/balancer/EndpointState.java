package lemonrail.core.balancer;

/** The state in which discovery lists an endpoint. */
public enum EndpointState {
    GONE,
    READY,
    DRAINING
}
