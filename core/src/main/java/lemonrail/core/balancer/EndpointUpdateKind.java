package lemonrail.core.balancer;

/** What an endpoint update consists of. */
public enum EndpointUpdateKind {
    /** A full list that the host had cached from an earlier process. */
    CACHED,
    /** A full list: endpoints that it does not name are gone. */
    SNAPSHOT,
    /** Changed endpoints only. */
    DELTA,
    /** Nothing: discovery could not be reached. */
    FAILED
}
