package lemonrail.logging;

/** The severity of an event, in rising order. */
public enum Severity {
    /** Each request and attempt; off by default. */
    DEBUG,
    /** Actions of operators and phases of the process. */
    INFO,
    /** A fault outside of the program, as of a client or an endpoint. */
    WARN,
    /** A fault of the program itself. */
    ERROR
}
