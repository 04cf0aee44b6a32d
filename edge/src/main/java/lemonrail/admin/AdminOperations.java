package lemonrail.admin;

import lemonrail.logging.Severity;

/**
 * The operations of a sidecar's admin API. Called on the event loop; implemented by the parts that own the state.
 */
public interface AdminOperations {

    /** The result of an operation on an endpoint. */
    enum Result {
        DONE,
        UNKNOWN_ENDPOINT,
        FAILED
    }

    /** Returns whether this process is ready to serve. */
    boolean isReady();

    /** Returns the phase of the process as a word for people. */
    String phase();

    /** Returns all metrics, one a line. */
    String renderMetrics();

    /** Suspends an endpoint, so that it gets no requests; suspending it twice changes nothing. */
    Result suspend(String endpoint);

    /** Resumes an endpoint, however often it was suspended. */
    Result resume(String endpoint);

    /** Returns the loggers that have a level of their own and their levels, one a line. */
    String renderLevels();

    /** Sets the lowest severity that a logger writes; returns false if too many loggers have a level of their own. */
    boolean setLevel(String logger, Severity severity);

    /** Starts to drain the sidecar of its connections. */
    void drain();

    /** Ends the drain. */
    void activate();
}
