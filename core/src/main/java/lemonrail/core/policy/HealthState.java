package lemonrail.core.policy;

/** The state of an endpoint in outlier detection. */
enum HealthState {
    /** No more failures than chance explains. */
    HEALTHY,
    /** Failed, and its ejection time is not over: it gets no new slots. */
    EJECTED,
    /** Its ejection time is over: it gets one request at a time until enough of them have succeeded. */
    PROBING
}
