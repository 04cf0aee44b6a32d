package lemonrail.admin;

import lemonrail.logging.Severity;

/**
 * The operations of a sidecar's admin API, called on the event loop.
 */
public interface AdminOperations {

    /** The result of an operation on an endpoint. */
    enum Result {
        DONE,
        /** No endpoint with this id is or was listed. */
        UNKNOWN_ENDPOINT,
        /** The change could not be persisted; the reason is in the log. */
        FAILED
    }

    /** Returns whether this process is ready to serve. */
    boolean isReady();

    /** Returns the name of the process's lifecycle phase, for operators. */
    String phase();

    /** Returns all metrics, one per line. */
    String renderMetrics();

    /** Suspends an endpoint, so that it gets no new requests; has no effect on a suspended endpoint. */
    Result suspend(String endpoint);

    /** Resumes an endpoint; one call is enough however often the endpoint was suspended. */
    Result resume(String endpoint);

    /** Returns the loggers whose level is set individually, with their levels, one per line. */
    String renderLevels();

    /**
     * Sets the lowest severity that a logger writes.
     *
     * @return false if the limit on loggers with an individually set level is reached
     */
    boolean setLevel(String logger, Severity severity);

    /** Starts to drain the sidecar's connections. */
    void drain();

    /** Ends the drain, so that the sidecar accepts connections again. */
    void activate();
}
