package lemonrail.admin;

import lemonrail.logging.Severity;

/** What the admin API can have done, on the event loop; whoever owns the state carries it out. */
public interface AdminOperations {

    /** What came of a call. */
    enum Verdict {
        DONE,
        UNKNOWN_ENDPOINT,
        FAILED
    }

    /** Whether this process is ready to serve. */
    boolean ready();

    /** The phase that the process is in, as a word for people. */
    String phase();

    /** The figures, one a line. */
    String figures();

    /** Leaves an endpoint out; a second call changes nothing. */
    Verdict suspend(String endpoint);

    /** Lets an endpoint serve again, however often it was suspended. */
    Verdict resume(String endpoint);

    /** The loggers that have a level of their own and which, one a line. */
    String levels();

    /** From which severity on events of this logger are written; false if there are too many such already. */
    boolean level(String logger, Severity severity);

    /** Empties the sidecar. */
    void drain();

    /** Ends the drain. */
    void activate();
}
