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

/** Checks each retry decision, and that a decision takes no token from the retry budget. */
class RetryPolicyTest {

    private static final double START_MS = 1000;
    private static final double DEADLINE_MS = START_MS + 3000;

    private final BalancerSettings settings = Fixture.settings(1, 0, 0, true);
    private final RetryBudget budget = new RetryBudget();
    private final RetryPolicy policy = new RetryPolicy(settings, budget);

    private InFlightRequest request(int requestClass) {
        RequestClass settingsOfClass = settings.classes().get(requestClass);
        Request request = new Request("r", requestClass, 0, DEADLINE_MS, false);
        return new InFlightRequest(START_MS, request, settingsOfClass, new LatencyEstimator(settingsOfClass));
    }

    private static void startAttempt(InFlightRequest request) {
        request.onAttemptStarted(START_MS, new Slot(new EndpointRecord(Fixture.endpoint("s0")), 0, true));
    }

    /** Starts an attempt, ends it with the outcome and returns the retry decision. */
    private RetryDecision decideAfter(InFlightRequest request, AttemptOutcome outcome, double nowMs) {
        startAttempt(request);
        request.onAttemptFinished(request.attemptInFlight(request.attempts().size() - 1), outcome);
        return policy.decide(nowMs, request, result(outcome, true));
    }

    private static AttemptResult result(AttemptOutcome outcome, boolean replayable) {
        return new AttemptResult("r", 0, "s0", outcome, 5, 0, false, replayable, LoadReport.NONE);
    }

    @Test
    void idempotentRequestIsRetriedAndDecisionTakesNoToken() {
        for (int i = 0; i < 100; i++) {
            assertEquals(
                    RetryDecision.RETRY, decideAfter(request(Fixture.IDEMPOTENT), AttemptOutcome.FAILED, START_MS + 5));
        }
    }

    @Test
    void budgetIsExhaustedOnceItsTokensAreTaken() {
        for (int i = 0; i < 10; i++) {
            budget.takeToken();
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
                "six requests add at least one token");
    }

    @Test
    void requestThatIsNotReplayableIsNotRetried() {
        assertEquals(
                RetryDecision.NOT_REPLAYABLE,
                policy.decide(START_MS, request(Fixture.IDEMPOTENT), result(AttemptOutcome.FAILED, false)));
    }

    @Test
    void requestWithAnAttemptInFlightIsNotRetried() {
        InFlightRequest request = request(Fixture.IDEMPOTENT);
        startAttempt(request);
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
        // The initial typical latency is a quarter of the objective of 1,000 ms; a response is useful for 990 ms.
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
        // Keyed requests are retried within 90 % of the deduplication window of 800 ms.
        assertEquals(
                RetryDecision.RETRY, decideAfter(request(Fixture.KEYED_BY_CELL), AttemptOutcome.RESET, START_MS + 719));
        assertEquals(
                RetryDecision.MAY_HAVE_EXECUTED,
                decideAfter(request(Fixture.KEYED_BY_CELL), AttemptOutcome.RESET, START_MS + 721));
    }
}
