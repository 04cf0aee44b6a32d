package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import lemonrail.core.LatencyEstimator;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;

/** A request without a final response or with attempts in flight. */
final class InFlightRequest {

    /** If late responses have no value, a request ends at this fraction of its latency objective. */
    private static final double OBJECTIVE_FRACTION = 0.99;

    private final Request request;
    private final RequestClass requestClass;
    private final LatencyEstimator latency;
    private final double usefulUntilMs;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private int attemptsInFlight;
    private boolean responded;
    private Attempt firstPossibleExecution;

    /** Creates a request that has just arrived; {@code latency} is its class's estimator. */
    InFlightRequest(double nowMs, Request request, RequestClass requestClass, LatencyEstimator latency) {
        this.request = request;
        this.requestClass = requestClass;
        this.latency = latency;
        usefulUntilMs = requestClass.lateResponseWeight() > 0
                ? request.deadlineMs()
                : Math.min(request.deadlineMs(), nowMs + requestClass.latencyObjectiveMs() * OBJECTIVE_FRACTION);
    }

    String id() {
        return request.id();
    }

    int tenant() {
        return request.tenant();
    }

    RequestClass requestClass() {
        return requestClass;
    }

    LatencyEstimator latency() {
        return latency;
    }

    /** Returns the time after which a response has no value. */
    double usefulUntilMs() {
        return usefulUntilMs;
    }

    List<Attempt> attempts() {
        return Collections.unmodifiableList(attempts);
    }

    boolean isFirstAttempt() {
        return attempts.isEmpty();
    }

    int attemptsInFlight() {
        return attemptsInFlight;
    }

    boolean hasTried(EndpointRecord endpoint) {
        return !attempts.isEmpty() && attempts.stream().anyMatch(attempt -> attempt.endpoint() == endpoint);
    }

    /**
     * Returns the first attempt that its endpoint may have executed, or null if there is none. A keyed request may be
     * repeated only within that attempt's deduplication scope and window.
     */
    Attempt firstPossibleExecution() {
        return firstPossibleExecution;
    }

    /** Returns the attempt of this number, or null if there is none or it has ended. */
    Attempt attemptInFlight(int number) {
        Attempt attempt = number < attempts.size() ? attempts.get(number) : null;
        return attempt != null && attempt.isInFlight() ? attempt : null;
    }

    void onAttemptStarted(double nowMs, Slot slot) {
        attempts.add(new Attempt(slot, nowMs));
        attemptsInFlight++;
    }

    /** Records the outcome of an attempt that was in flight. */
    void onAttemptFinished(Attempt attempt, AttemptOutcome outcome) {
        attempt.finish(outcome);
        attemptsInFlight--;
        if (!outcome.provesNotExecuted() && firstPossibleExecution == null) {
            firstPossibleExecution = attempt;
        }
    }

    /** Returns whether the client has received its final response or has disconnected. */
    boolean isResponded() {
        return responded;
    }

    void markResponded() {
        responded = true;
    }

    /** Returns whether the client needs no response any more and no attempt is in flight. */
    boolean isComplete() {
        return responded && attemptsInFlight == 0;
    }
}
