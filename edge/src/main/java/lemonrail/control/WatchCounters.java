package lemonrail.control;

/**
 * The counters of a node's watch server.
 *
 * @param connections the open connections
 * @param waiting the requests that wait for an update
 * @param responses the successful responses since the start
 * @param responseBytes the body bytes of all responses since the start
 * @param slowClosed the connections closed because the client read too slowly or sent a request too early
 * @param encodedBodies the response bodies encoded since the start; other responses reused them
 */
public record WatchCounters(
        long connections, long waiting, long responses, long responseBytes, long slowClosed, long encodedBodies) {}
