package lemonrail.core.policy;

import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;

/** Decides whether a request is sent again. {@link SlotEligibility} decides which slots a retry may use. */
final class RetryPolicy {

    /** A retry needs at least this fraction of the typical response time. */
    private static final double MIN_TIME_LEFT_FRACTION = 0.5;
    /** The fraction of the deduplication window in which a keyed request may be sent again. */
    private static final double DEDUPLICATION_WINDOW_FRACTION = 0.9;

    private final RetryBudget budget;
    private int maxAttempts;

    RetryPolicy(BalancerSettings settings, RetryBudget budget) {
        this.budget = budget;
        onSettings(settings);
    }

    /** Applies a changed maximum of attempts. */
    void onSettings(BalancerSettings changed) {
        maxAttempts = changed.limits().maxAttempts();
    }

    /**
     * Decides whether a request without a final response is sent again after an attempt has ended, without a change of
     * state.
     */
    RetryDecision decide(double nowMs, InFlightRequest request, AttemptResult result) {
        if (!result.replayable()) {
            return RetryDecision.NOT_REPLAYABLE;
        }
        if (request.attemptsInFlight() > 0) {
            return RetryDecision.ATTEMPT_IN_FLIGHT;
        }
        if (request.attempts().size() >= maxAttempts) {
            return RetryDecision.ATTEMPT_LIMIT_REACHED;
        }
        if (result.outcome() == AttemptOutcome.IGNORED) {
            return RetryDecision.ATTEMPT_IGNORED;
        }
        if (request.usefulUntilMs() - nowMs < request.latency().typicalMs() * MIN_TIME_LEFT_FRACTION) {
            return RetryDecision.TOO_LATE;
        }
        if (!mayExecuteAgain(nowMs, request)) {
            return RetryDecision.MAY_HAVE_EXECUTED;
        }
        return budget.hasToken() ? RetryDecision.RETRY : RetryDecision.BUDGET_EXHAUSTED;
    }

    private static boolean mayExecuteAgain(double nowMs, InFlightRequest request) {
        Attempt first = request.firstPossibleExecution();
        if (first == null) {
            return true;
        }
        return switch (request.requestClass().idempotency()) {
            case IDEMPOTENT -> true;
            case NON_IDEMPOTENT -> false;
            case KEYED ->
                nowMs - first.startedMs()
                        < request.requestClass().deduplicationWindowMs() * DEDUPLICATION_WINDOW_FRACTION;
        };
    }
}
