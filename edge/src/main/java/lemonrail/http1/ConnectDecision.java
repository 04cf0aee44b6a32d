package lemonrail.http1;

/** The decision on which connection an attempt is sent. */
sealed interface ConnectDecision {

    /** Send the attempt on this idle connection. */
    record Reuse(UpstreamConnection connection) implements ConnectDecision {}

    /** Open a new connection for the attempt. */
    record Open() implements ConnectDecision {}

    /** Fail the attempt because no connection is available; {@code reason} is logged. */
    record Fail(String reason) implements ConnectDecision {}
}
