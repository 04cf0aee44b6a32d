package lemonrail.core.policy;

/** The final response to a request that cannot be served. */
enum FinalResponse {
    /** The client may safely send the request again after a delay. */
    REJECT,
    /** The response does not say whether the request ran. */
    FAIL
}
