package lemonrail.core.balancer;

/** The kind of an update of the endpoint list. */
public enum EndpointUpdateKind {
    /** A full list that the host stored during an earlier run. */
    CACHED,
    /** A full list. Endpoints that it does not contain are gone. */
    SNAPSHOT,
    /** Only the endpoints that have changed. */
    DELTA,
    /** No entries, because discovery could not be reached. */
    FAILED
}
