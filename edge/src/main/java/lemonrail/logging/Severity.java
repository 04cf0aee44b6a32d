package lemonrail.logging;

/** The severity of an event, in ascending order. */
public enum Severity {
    /** Events of single requests and attempts; off by default. */
    DEBUG,
    /** Actions of operators and phases of the process. */
    INFO,
    /** A fault outside of the program, for example of a client or an endpoint. */
    WARN,
    /** A fault of the program itself. */
    ERROR
}
