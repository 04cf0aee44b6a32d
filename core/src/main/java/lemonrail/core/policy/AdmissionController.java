package lemonrail.core.policy;

import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.RequestClass;

/**
 * Decides which requests are admitted. Only the first tier sheds load, because rejecting a request at a lower tier
 * would waste the work already done for it.
 */
final class AdmissionController {

    /** The fraction of the limit that is reserved for requests of the highest priority weight. */
    private static final double PRIORITY_RESERVE = 0.2;
    /** The fraction of the limit that requests over their tenant's quota may use. */
    private static final double OVER_QUOTA_FRACTION = 0.6;
    /**
     * A request over quota is admitted only if the requests in flight are more than this below its limit. Otherwise a
     * burst of such requests would fill a small limit.
     */
    private static final double OVER_QUOTA_MARGIN = 0.5;
    /** No request over quota is admitted for this time after one within quota was rejected. */
    private static final double WITHIN_QUOTA_PRECEDENCE_MS = 1000;

    private final ConcurrencyLimit limit;
    private BalancerSettings settings;
    private double highestPriorityWeight;
    private double lastRejectionWithinQuotaMs = Double.NEGATIVE_INFINITY;
    private double lastAttemptEndMs;
    private double lastAttemptDurationMs;

    AdmissionController(BalancerSettings settings, ConcurrencyLimit limit) {
        this.limit = limit;
        onSettings(settings);
    }

    /** Applies changed priority weights. */
    void onSettings(BalancerSettings changed) {
        settings = changed;
        double highest = settings.classes().stream()
                .mapToDouble(RequestClass::priorityWeight)
                .max()
                .orElse(0);
        highestPriorityWeight = highest > 0 ? highest : 1;
    }

    /** Records the end of an attempt; {@code durationMs} is the time that it spent at the endpoint. */
    void onAttemptFinished(double nowMs, double durationMs) {
        lastAttemptEndMs = nowMs;
        lastAttemptDurationMs = durationMs;
    }

    /** Records that a request was rejected with this decision. */
    void onRejected(double nowMs, AdmissionDecision decision) {
        if (decision == AdmissionDecision.REJECTED_WITHIN_QUOTA) {
            lastRejectionWithinQuotaMs = nowMs;
        }
    }

    /** Returns whether a request within quota was rejected recently. */
    boolean hasRecentlyRejectedWithinQuota(double nowMs) {
        return nowMs - lastRejectionWithinQuotaMs < WITHIN_QUOTA_PRECEDENCE_MS;
    }

    /** Decides whether a request is admitted, without a change of state. */
    AdmissionDecision decide(double nowMs, RequestClass requestClass, boolean isWithinQuota) {
        if (hasCapacity(nowMs, requestClass, isWithinQuota)) {
            return AdmissionDecision.ADMITTED;
        }
        return isWithinQuota ? AdmissionDecision.REJECTED_WITHIN_QUOTA : AdmissionDecision.REJECTED_OVER_QUOTA;
    }

    private boolean hasCapacity(double nowMs, RequestClass requestClass, boolean isWithinQuota) {
        if (settings.tier() > 0) {
            return limit.inFlight() < SlotPool.MAX_SLOTS;
        }
        double classLimit = classLimit(requestClass, isWithinQuota);
        if (!isWithinQuota) {
            return !hasRecentlyRejectedWithinQuota(nowMs) && limit.inFlight() < classLimit - OVER_QUOTA_MARGIN;
        }
        return classLimit >= 1 ? limit.inFlight() < classLimit : isAdmittedByPacing(nowMs, classLimit);
    }

    /** Returns the part of the concurrency limit that the request may use, in requests in flight. */
    private double classLimit(RequestClass requestClass, boolean isWithinQuota) {
        double quotaFraction = isWithinQuota ? 1 : OVER_QUOTA_FRACTION;
        double relativeWeight = requestClass.priorityWeight() / highestPriorityWeight;
        return limit.current() * (quotaFraction * (1 - PRIORITY_RESERVE * (1 - relativeWeight)));
    }

    /**
     * Returns whether a request is admitted at a limit below one, where requests are paced: none may be in flight, and
     * the time since the last one must be long enough to keep the mean number in flight at the limit.
     */
    private boolean isAdmittedByPacing(double nowMs, double classLimit) {
        double idleTimeMs = lastAttemptDurationMs * (1 / classLimit - 1);
        return limit.inFlight() == 0 && nowMs >= lastAttemptEndMs + idleTimeMs;
    }
}
