package lemonrail.logging;

/** How much an event matters. */
public enum Severity {
    /** Every request and attempt; for a search, and off as a rule. */
    DEBUG,
    /** What operators did and what the process is at. */
    INFO,
    /** Something is amiss outside, or a client or endpoint misbehaves. */
    WARN,
    /** A fault of the program itself. */
    ERROR
}
