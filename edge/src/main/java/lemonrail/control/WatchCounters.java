package lemonrail.control;

/**
 * The figures of a node's watch server.
 *
 * @param connections open connections
 * @param waiting requests that wait for an update
 * @param responses successful responses since the start
 * @param responseBytes bytes of all responses since the start
 * @param slowClosed connections closed because the client was too slow or out of turn
 * @param encodedBodies response bodies that were encoded, the others being shared
 */
public record WatchCounters(
        long connections, long waiting, long responses, long responseBytes, long slowClosed, long encodedBodies) {}
