package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import lemonrail.core.LatencyEstimator;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;
import org.junit.jupiter.api.Test;

/** Checks each reason of a retry decision, and that a decision spends nothing. */
class RetryPolicyTest {

    private static final double START_MS = 1000;
    private static final double DEADLINE_MS = START_MS + 3000;

    private final BalancerSettings settings = Fixture.settings(1, 0, 0, true);
    private final RetryBudget budget = new RetryBudget();
    private final RetryPolicy policy = new RetryPolicy(settings, budget);

    private InFlightRequest request(int requestClass) {
        RequestClass definition = settings.classes().get(requestClass);
        Request request = new Request("r", requestClass, 0, DEADLINE_MS, false);
        return new InFlightRequest(START_MS, request, definition, new LatencyEstimator(definition));
    }

    private static void attempt(InFlightRequest request) {
        request.onAttemptStarted(START_MS, new Slot(new EndpointRecord(Fixture.endpoint("s0")), 0, true));
    }

    /** Starts an attempt, ends it with the outcome and returns the decision after it. */
    private RetryDecision decideAfter(InFlightRequest request, AttemptOutcome outcome, double nowMs) {
        attempt(request);
        request.onAttemptFinished(request.attemptInFlight(request.attempts().size() - 1), outcome);
        return policy.decide(nowMs, request, result(outcome, true));
    }

    private static AttemptResult result(AttemptOutcome outcome, boolean replayable) {
        return new AttemptResult("r", 0, "s0", outcome, 5, 0, false, replayable, LoadReport.NONE);
    }

    @Test
    void idempotentRequestIsRetriedAndTheDecisionSpendsNothing() {
        for (int i = 0; i < 100; i++) {
            assertEquals(
                    RetryDecision.RETRY, decideAfter(request(Fixture.IDEMPOTENT), AttemptOutcome.FAILED, START_MS + 5));
        }
    }

    @Test
    void budgetIsExhaustedOnceItsTokensAreSpent() {
        for (int i = 0; i < 10; i++) {
            budget.spend();
        }
        assertEquals(
                RetryDecision.BUDGET_EXHAUSTED,
                decideAfter(request(Fixture.IDEMPOTENT), AttemptOutcome.FAILED, START_MS + 5));
        for (int i = 0; i < 6; i++) {
            budget.onRequest();
        }
        assertEquals(
                RetryDecision.RETRY,
                decideAfter(request(Fixture.IDEMPOTENT), AttemptOutcome.FAILED, START_MS + 5),
                "five requests or so bring a token");
    }

    @Test
    void requestThatTheHostNoLongerHasIsNotRetried() {
        assertEquals(
                RetryDecision.NOT_REPLAYABLE,
                policy.decide(START_MS, request(Fixture.IDEMPOTENT), result(AttemptOutcome.FAILED, false)));
    }

    @Test
    void requestWithAnAttemptInFlightIsNotRetried() {
        InFlightRequest request = request(Fixture.IDEMPOTENT);
        attempt(request);
        assertEquals(
                RetryDecision.ATTEMPT_IN_FLIGHT, policy.decide(START_MS, request, result(AttemptOutcome.FAILED, true)));
    }

    @Test
    void attemptsAreLimited() {
        InFlightRequest request = request(Fixture.IDEMPOTENT);
        assertEquals(RetryDecision.RETRY, decideAfter(request, AttemptOutcome.FAILED, START_MS));
        assertEquals(RetryDecision.RETRY, decideAfter(request, AttemptOutcome.FAILED, START_MS));
        assertEquals(RetryDecision.ATTEMPT_LIMIT_REACHED, decideAfter(request, AttemptOutcome.FAILED, START_MS));
    }

    @Test
    void ignoredAttemptIsNotRetried() {
        assertEquals(
                RetryDecision.ATTEMPT_IGNORED,
                decideAfter(request(Fixture.IDEMPOTENT), AttemptOutcome.IGNORED, START_MS));
    }

    @Test
    void requestIsNotRetriedWithLessThanHalfATypicalLatencyLeft() {
        // Typical is a quarter of the objective of 1,000 ms at first; the request is of use for 990 ms.
        assertEquals(
                RetryDecision.RETRY, decideAfter(request(Fixture.IDEMPOTENT), AttemptOutcome.FAILED, START_MS + 864));
        assertEquals(
                RetryDecision.TOO_LATE,
                decideAfter(request(Fixture.IDEMPOTENT), AttemptOutcome.FAILED, START_MS + 866));
    }

    @Test
    void requestThatMayHaveRunIsRetriedOnlyIfItMayRunAgain() {
        assertEquals(
                RetryDecision.MAY_HAVE_EXECUTED,
                decideAfter(request(Fixture.NON_IDEMPOTENT), AttemptOutcome.RESET, START_MS));
        assertEquals(
                RetryDecision.RETRY,
                decideAfter(request(Fixture.NON_IDEMPOTENT), AttemptOutcome.CONNECT_ERROR, START_MS));
        // The deduplication window is 800 ms, of which 90 % are used.
        assertEquals(RetryDecision.RETRY, decideAfter(request(Fixture.BY_CELL), AttemptOutcome.RESET, START_MS + 719));
        assertEquals(
                RetryDecision.MAY_HAVE_EXECUTED,
                decideAfter(request(Fixture.BY_CELL), AttemptOutcome.RESET, START_MS + 721));
    }
}
