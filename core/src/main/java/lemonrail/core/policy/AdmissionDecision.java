package lemonrail.core.policy;

/** Whether a request is admitted. */
enum AdmissionDecision {
    ADMITTED,
    /** Rejected at the concurrency limit although its tenant is within quota. */
    REJECTED_WITHIN_QUOTA,
    /** Rejected at the lower limit for requests over their tenant's quota. */
    REJECTED_OVER_QUOTA;

    boolean isAdmitted() {
        return this == ADMITTED;
    }
}
