package lemonrail.exchange;

/** The way in which a request was concluded. */
enum RequestOutcome {
    /** An endpoint served the request. */
    SERVED("served"),
    /** The head of a large response was forwarded, and its body is being streamed. */
    STREAMING("streaming"),
    /** An endpoint rejected the request as invalid. */
    REJECTED_BY_ENDPOINT("rejected"),
    /** The balancer rejected the request without executing it, so the client can safely retry. */
    REJECTED("refused"),
    /** The balancer failed the request. */
    FAILED("failed"),
    /** The dispatcher failed the request without a decision of the balancer. */
    ABANDONED("abandoned"),
    /** The client disconnected before the final response. */
    CLIENT_DISCONNECTED("client_gone");

    private final String logName;

    RequestOutcome(String logName) {
        this.logName = logName;
    }

    /** Returns the value of the log field {@code outcome}. */
    String logName() {
        return logName;
    }
}
