package lemonrail.core.policy;

/** The state of an endpoint in outlier detection. */
enum HealthState {
    /** No more failures than are attributed to chance. */
    HEALTHY,
    /** Failed, and its ejection time has not passed. It gets no new slots. */
    EJECTED,
    /** Its ejection time has passed. It gets one request at a time until enough of them have succeeded. */
    PROBING
}
