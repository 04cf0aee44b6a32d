package lemonrail.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/** The log events about single requests and attempts. */
final class RequestLog {

    /** The value of a time that has not been reached. */
    private static final double NOT_REACHED = -1;

    private final EventLog log;
    private final Clock clock;
    private final Supplier<BalancerSettings> settings;

    RequestLog(EventLog log, Clock clock, Supplier<BalancerSettings> settings) {
        this.log = log;
        this.clock = clock;
        this.settings = settings;
    }

    void attemptEnded(
            PendingRequest<?, ?> request,
            PendingAttempt attempt,
            AttemptOutcome outcome,
            double durationMs,
            double connectMs) {
        if (log.isDebugEnabled()) {
            debug(
                    "attempt_ended",
                    request,
                    "endpoint",
                    attempt.endpoint(),
                    "attempt",
                    attempt.number(),
                    "outcome",
                    outcome.name().toLowerCase(Locale.ROOT),
                    "took_ms",
                    durationMs,
                    "connect_ms",
                    connectMs);
        }
    }

    void requestConcluded(PendingRequest<?, ?> request, RequestOutcome outcome) {
        if (log.isDebugEnabled()) {
            debug(
                    "request_concluded",
                    request,
                    "outcome",
                    outcome.logName(),
                    "attempts",
                    request.attempts().size(),
                    "took_ms",
                    sinceArrivalMs(request, clock.now()));
        }
    }

    /** Says where the time of a request went whose final response is given after its client's deadline. */
    void lateResponse(PendingRequest<?, ?> request, RequestOutcome outcome) {
        double lateMs = clock.now() - request.deadlineMs();
        List<PendingAttempt> attempts = request.attempts();
        PendingAttempt last = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
        log.warnRateLimited(
                "late_response",
                "a response was given after its client's deadline",
                request.id(),
                "request_id",
                request.id(),
                "outcome",
                outcome.logName(),
                "late_ms",
                lateMs,
                "wait_ms",
                request.clientTimeoutMs(),
                "unread_ms",
                request.maxQueueDelayMs(),
                "attempts",
                attempts.size(),
                "last_endpoint",
                last == null ? "none" : last.endpoint(),
                "last_sent_ms",
                last == null ? NOT_REACHED : sinceArrivalMs(request, last.startedMs()),
                "last_connect_ms",
                last == null ? NOT_REACHED : last.connectMs(),
                "loop_late_ms",
                clock.lag().recentMaxLagMs());
    }

    void decisionTimeout(PendingRequest<?, ?> request) {
        log.warnRateLimited(
                "decision_timeout", "no decision by the deadline", request.id(), "request_id", request.id());
    }

    void unknownAttempt(String requestId) {
        log.warnRateLimited(
                "unknown_attempt",
                "an attempt was started for a request that is not in flight",
                requestId,
                "request_id",
                requestId);
    }

    void sendingFailed(RuntimeException cause) {
        log.error("sending an attempt failed", cause);
    }

    private static double sinceArrivalMs(PendingRequest<?, ?> request, double instantMs) {
        return instantMs - request.deadlineMs() + request.clientTimeoutMs();
    }

    private void debug(String event, PendingRequest<?, ?> request, Object... fields) {
        List<Object> all = new ArrayList<>(List.of(
                "request_id",
                request.id(),
                "class",
                settings.get().classes().get(request.requestClass()).name()));
        all.addAll(List.of(fields));
        StringBuilder line = new StringBuilder(event);
        for (int i = 0; i + 1 < all.size(); i += 2) {
            line.append(' ').append(all.get(i)).append('=').append(all.get(i + 1));
        }
        log.debug(event, line.toString(), all.toArray());
    }
}
