package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.LatencyEstimator;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;

/** A request in hand. */
final class InFlightRequest {

    /** Where a late answer is worth nothing, a call ends at this part of its aim: later costs more. */
    private static final double USEFUL = 0.99;

    /** One attempt of a call; its end is null until it has come. */
    record Attempt(Slot slot, double sentAt, AttemptOutcome[] end) {}

    final Request request;
    final RequestClass kind;
    final LatencyEstimator learned;
    final List<Attempt> attempts = new ArrayList<>(2);
    /** When an answer stops being worth waiting for. */
    final double usefulUntil;

    boolean answered;
    int out;
    boolean withinShare;
    /** The first attempt that may have run: its server's group and time bind later ones. */
    Attempt mayHaveRun;

    /** The attempt of this number, or null if there is none or it has ended. */
    Attempt open(int number) {
        Attempt attempt = number < attempts.size() ? attempts.get(number) : null;
        return attempt == null || attempt.end()[0] != null ? null : attempt;
    }

    /** Records the outcome of an attempt that was in flight. */
    void end(Attempt attempt, AttemptOutcome outcome) {
        attempt.end()[0] = outcome;
        out--;
        if (!outcome.provesNotExecuted() && mayHaveRun == null) {
            mayHaveRun = attempt;
        }
    }

    /** Whether the client has its final response and no attempt is in flight. */
    boolean isOver() {
        return answered && out == 0;
    }

    InFlightRequest(double now, Request request, RequestClass kind, LatencyEstimator learned) {
        this.request = request;
        this.kind = kind;
        this.learned = learned;
        usefulUntil = kind.lateResponseWeight() > 0
                ? request.deadlineMs()
                : Math.min(request.deadlineMs(), now + kind.latencyObjectiveMs() * USEFUL);
    }
}
