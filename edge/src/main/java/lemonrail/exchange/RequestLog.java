package lemonrail.exchange;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/** Writes the log events about individual requests and attempts. */
final class RequestLog {

    /** Logged in place of a time that has not been reached. */
    private static final double NOT_REACHED = -1;

    private final EventLog log;
    private final Clock clock;
    private final Supplier<BalancerSettings> settings;

    RequestLog(EventLog log, Clock clock, Supplier<BalancerSettings> settings) {
        this.log = log;
        this.clock = clock;
        this.settings = settings;
    }

    void logAttemptEnded(
            PendingRequest<?, ?> request,
            PendingAttempt attempt,
            AttemptOutcome outcome,
            double durationMs,
            double connectMs) {
        if (log.isDebugEnabled()) {
            logDebug(
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

    void logRequestConcluded(PendingRequest<?, ?> request, RequestOutcome outcome) {
        if (log.isDebugEnabled()) {
            logDebug(
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

    /** Logs a final response that was given after the client's deadline, with the times that show what delayed it. */
    void logLateResponse(PendingRequest<?, ?> request, RequestOutcome outcome) {
        double lateMs = clock.now() - request.deadlineMs();
        List<PendingAttempt> attempts = request.attempts();
        PendingAttempt lastAttempt = attempts.isEmpty() ? null : attempts.get(attempts.size() - 1);
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
                lastAttempt == null ? "none" : lastAttempt.endpoint(),
                "last_sent_ms",
                lastAttempt == null ? NOT_REACHED : sinceArrivalMs(request, lastAttempt.startedMs()),
                "last_connect_ms",
                lastAttempt == null ? NOT_REACHED : lastAttempt.connectMs(),
                "loop_late_ms",
                clock.lag().recentMaxLagMs());
    }

    void logDecisionTimeout(PendingRequest<?, ?> request) {
        log.warnRateLimited(
                "decision_timeout",
                "the load balancer made no decision by the deadline; abandoning the request",
                request.id(),
                "request_id",
                request.id());
    }

    /** Logs that a request is rejected because its client may have disconnected behind an unread body. */
    void logBodyUnread(PendingRequest<?, ?> request) {
        if (log.isDebugEnabled()) {
            logDebug(
                    "body_unread",
                    request,
                    "attempts",
                    request.attempts().size(),
                    "took_ms",
                    sinceArrivalMs(request, clock.now()));
        }
    }

    /** Logs that a large request is rejected because too many bodies are arriving at the same time. */
    void logUploadRefused(PendingRequest<?, ?> request, int inFlight, double concurrencyLimit) {
        log.warnRateLimited(
                "upload_refused",
                "a large request is rejected, as too many bodies are arriving",
                request.id(),
                "request_id",
                request.id(),
                "in_flight",
                inFlight,
                "limit",
                concurrencyLimit);
    }

    void logUnknownAttempt(String requestId) {
        log.warnRateLimited(
                "unknown_attempt",
                "ignoring an attempt that the load balancer started for a request that is not in flight",
                requestId,
                "request_id",
                requestId);
    }

    void logSendingFailed(RuntimeException cause) {
        log.error("sending an attempt failed", cause);
    }

    private static double sinceArrivalMs(PendingRequest<?, ?> request, double instantMs) {
        return instantMs - request.deadlineMs() + request.clientTimeoutMs();
    }

    private void logDebug(String event, PendingRequest<?, ?> request, Object... fields) {
        List<Object> allFields = new ArrayList<>(List.of(
                "request_id",
                request.id(),
                "class",
                settings.get().classes().get(request.requestClass()).name()));
        allFields.addAll(List.of(fields));
        StringBuilder line = new StringBuilder(event);
        for (int i = 0; i + 1 < allFields.size(); i += 2) {
            line.append(' ').append(allFields.get(i)).append('=').append(allFields.get(i + 1));
        }
        log.debug(event, line.toString(), allFields.toArray());
    }
}
