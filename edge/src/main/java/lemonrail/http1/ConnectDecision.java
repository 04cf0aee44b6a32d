package lemonrail.http1;

/** Which connection an attempt is sent on. */
sealed interface ConnectDecision {

    /** The attempt is sent on this idle connection. */
    record Reuse(UpstreamConnection connection) implements ConnectDecision {}

    /** A new connection is opened for the attempt. */
    record Open() implements ConnectDecision {}

    /** The attempt fails without a connection; {@code reason} is for the log. */
    record Refuse(String reason) implements ConnectDecision {}
}
