package lemonrail.core.policy;

/** The final response of a request that cannot be served. */
enum FinalResponse {
    /** Safe to send again, after a delay. */
    REJECT,
    /** Nothing is said about whether the request ran. */
    FAIL
}
