package lemonrail.exchange;

/** How a request was concluded. */
enum RequestOutcome {
    /** An endpoint served it. */
    SERVED("served"),
    /** The head of a large response was forwarded; its body follows. */
    STREAMING("streaming"),
    /** An endpoint rejected it as invalid. */
    REJECTED_BY_ENDPOINT("rejected"),
    /** The balancer shed it before it was executed. */
    SHED("refused"),
    /** The balancer gave it up. */
    FAILED("failed"),
    /** The dispatcher gave it up without the balancer. */
    ABANDONED("abandoned"),
    /** Its client disconnected first. */
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
