package lemonrail.exchange;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.RequestClass;
import lemonrail.streaming.BodyPipe;

/**
 * Starts attempts, times them out, cancels them, and reports the result of each to the balancer once.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's responses
 */
final class AttemptRunner<M extends ProtocolRequest, A> {

    private final EventLoopContext context;
    private final Upstream<M, A> upstream;
    private final Supplier<BalancerSettings> settings;
    private final BalancerEventQueue<M, A> events;
    private final ResponseDelivery<M, A> responses;
    private final RequestDeadlines deadlines;
    private final EventLoopTimers timers;
    /** Called with a request that may have been executed from now on. */
    private final Consumer<PendingRequest<M, A>> onExecutable;

    private final StreamProgressMonitor progress;
    private final RequestLog log;

    AttemptRunner(
            EventLoopContext context,
            Upstream<M, A> upstream,
            Supplier<BalancerSettings> settings,
            BalancerEventQueue<M, A> events,
            ResponseDelivery<M, A> responses,
            RequestDeadlines deadlines,
            Consumer<PendingRequest<M, A>> onExecutable,
            RequestLog log) {
        this.context = context;
        this.upstream = upstream;
        this.settings = settings;
        this.events = events;
        this.responses = responses;
        this.deadlines = deadlines;
        this.onExecutable = onExecutable;
        timers = new EventLoopTimers(context.loop());
        this.log = log;
        progress = new StreamProgressMonitor(context.clock(), timers);
    }

    /**
     * Starts the next attempt of a request. The attempt finishes at once if no time is left, the request is concluded
     * or it has used up its maximum number of attempts.
     *
     * @param timeoutMs the attempt timeout, in milliseconds, or 0 to use all the time that is left
     */
    void start(PendingRequest<M, A> request, String endpoint, double timeoutMs) {
        double nowMs = nowMs();
        RequestClass requestClass = settings.get().classes().get(request.requestClass());
        PendingAttempt attempt =
                request.addAttempt(endpoint, nowMs, deadlines.nextAttemptWindowEndMs(request, requestClass, nowMs));
        double remainingMs = deadlines.remainingMs(request, nowMs);
        double attemptTimeoutMs = timeoutMs == 0 ? remainingMs : Math.min(timeoutMs, remainingMs);
        if (request.isConcluded() || remainingMs <= 0 || hasTooManyAttempts(request)) {
            finish(request, attempt, AttemptOutcome.IGNORED);
        } else if (mayHaveLostItsClient(request)) {
            finish(request, attempt, AttemptOutcome.IGNORED);
            rejectForUnreadBody(request);
        } else if (attemptTimeoutMs <= 0) {
            finish(request, attempt, AttemptOutcome.TIMED_OUT);
        } else {
            send(request, attempt, attemptTimeoutMs);
        }
    }

    /** Returns whether no attempt may start because its client's disconnect would not have been noticed. */
    private boolean mayHaveLostItsClient(PendingRequest<M, A> request) {
        return request.message().isReplayable() && deadlines.mayBeDisconnected(request);
    }

    private void rejectForUnreadBody(PendingRequest<M, A> request) {
        log.logBodyUnread(request);
        responses.reject(request, RequestDispatcher.NO_RETRY_AFTER);
        release(request);
    }

    private boolean hasTooManyAttempts(PendingRequest<M, A> request) {
        return request.attempts().size() > settings.get().limits().maxAttempts();
    }

    private void send(PendingRequest<M, A> request, PendingAttempt attempt, double timeoutMs) {
        BodyPipe remainingBody = request.message().remainingBody();
        if (remainingBody == null) {
            startTimeout(request, attempt, timeoutMs);
        } else {
            progress.watchUpload(attempt, remainingBody, () -> cancel(request, attempt, AttemptOutcome.TIMED_OUT));
        }
        try {
            attempt.setUpstreamAttempt(upstream.startAttempt(
                    attempt.endpoint(), request.message(), timeoutMs, new Listener(request, attempt, timeoutMs)));
        } catch (RuntimeException e) {
            // Some of the request may have been written, so it may have been executed. The balancer must be notified
            // that the attempt has ended.
            log.logSendingFailed(e);
            finish(request, attempt, AttemptOutcome.RESET);
        }
    }

    private void startTimeout(PendingRequest<M, A> request, PendingAttempt attempt, double timeoutMs) {
        attempt.setTimeout(timers.schedule(timeoutMs, () -> cancel(request, attempt, AttemptOutcome.TIMED_OUT)));
    }

    /**
     * Notifies the balancer that a request needs no further decisions, and cancels its attempts that have not been
     * executed.
     */
    void release(PendingRequest<M, A> request) {
        events.add(request, (balancer, nowMs) -> balancer.onRequestCancelled(nowMs, request.id()));
        cancelUnwritten(request);
    }

    private void cancelUnwritten(PendingRequest<M, A> request) {
        endUnwritten(request, AttemptOutcome.CANCELED);
    }

    /** Times out the attempts that are still sending a large body. They have no other limit on their total time. */
    void timeOutUploads(PendingRequest<M, A> request) {
        if (request.message().remainingBody() != null) {
            endUnwritten(request, AttemptOutcome.TIMED_OUT);
        }
    }

    private void endUnwritten(PendingRequest<M, A> request, AttemptOutcome outcome) {
        for (PendingAttempt attempt : List.copyOf(request.attempts())) {
            if (!attempt.isFinished() && !attempt.upstreamAttempt().mayHaveExecuted()) {
                cancel(request, attempt, outcome);
            }
        }
    }

    /**
     * Cancels an attempt; does nothing if it has finished.
     *
     * @param outcome the reported outcome. If the endpoint cannot have executed the attempt, every outcome except a
     *     cancellation is reported as a connect error
     */
    void cancel(PendingRequest<M, A> request, PendingAttempt attempt, AttemptOutcome outcome) {
        if (attempt.isFinished()) {
            return;
        }
        // Cutting off a streamed response calls onClientDisconnected, which must not cancel this attempt again.
        request.stopStreaming(attempt);
        boolean mayHaveExecuted = attempt.upstreamAttempt().cancel();
        boolean keepOutcome = mayHaveExecuted || outcome == AttemptOutcome.CANCELED;
        finish(request, attempt, keepOutcome ? outcome : AttemptOutcome.CONNECT_ERROR);
    }

    private void finish(PendingRequest<M, A> request, PendingAttempt attempt, AttemptOutcome outcome) {
        if (attempt.isFinished()) {
            return;
        }
        attempt.markFinished();
        attempt.cancelTimeout();
        double durationMs = attempt.durationMs(nowMs());
        double connectMs = attempt.connectPartMs(durationMs);
        log.logAttemptEnded(request, attempt, outcome, durationMs, connectMs);
        request.stopStreaming(attempt);
        events.add(request, (balancer, nowMs) -> {
            request.markAttemptReported();
            balancer.onAttemptFinished(nowMs, createResult(request, attempt, outcome, durationMs, connectMs));
        });
    }

    private AttemptResult createResult(
            PendingRequest<M, A> request,
            PendingAttempt attempt,
            AttemptOutcome outcome,
            double durationMs,
            double connectMs) {
        return new AttemptResult(
                request.id(),
                attempt.number(),
                attempt.endpoint(),
                outcome,
                durationMs,
                connectMs,
                request.isConcluded(),
                request.message().isReplayable(),
                LoadReport.NONE);
    }

    private double nowMs() {
        return context.clock().now();
    }

    /** Handles the progress of one attempt: forwards its response and reports its result. */
    private final class Listener implements Upstream.AttemptListener<A> {
        private final PendingRequest<M, A> request;
        private final PendingAttempt attempt;
        private final double timeoutMs;

        Listener(PendingRequest<M, A> request, PendingAttempt attempt, double timeoutMs) {
            this.request = request;
            this.attempt = attempt;
            this.timeoutMs = timeoutMs;
        }

        @Override
        public boolean mayStart() {
            if (!request.isConcluded() && mayHaveLostItsClient(request)) {
                rejectForUnreadBody(request);
            }
            return !request.isConcluded() && attempt.mayStart(nowMs());
        }

        @Override
        public void onRequestWritten() {
            attempt.markRequestWritten(nowMs());
            onExecutable.accept(request);
            if (request.message().remainingBody() != null && !attempt.isFinished()) {
                attempt.restartAfterUpload(nowMs());
                attempt.cancelTimeout();
                startTimeout(request, attempt, Math.min(timeoutMs, deadlines.remainingMs(request, nowMs())));
            }
        }

        @Override
        public void onResponseStreamStarted(A head, BodyPipe body) {
            attempt.cancelTimeout();
            attempt.markFirstBytes(nowMs());
            if (request.isConcluded()) {
                // The final response has already been decided, so this response would only be discarded.
                body.close();
                context.loop().execute(() -> cancel(request, attempt, AttemptOutcome.CANCELED));
                return;
            }
            responses.concludeStreaming(request);
            request.startStreaming(new StreamedResponse(attempt, body));
            progress.watchResponse(attempt, body, () -> cancelStalledResponse(body));
            events.add(
                    request,
                    (balancer, nowMs) -> balancer.onResponseStreamStarted(nowMs, request.id(), attempt.number()));
            request.sink().onStreamStarted(head, body);
        }

        /**
         * Cancels a stalled response. The attempt times out if the endpoint has stopped sending, and is cancelled if
         * the client has stopped reading.
         */
        private void cancelStalledResponse(BodyPipe body) {
            cancel(request, attempt, body.isDrained() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELED);
        }

        @Override
        public void onFinished(AttemptOutcome outcome, A response) {
            try {
                if (response != null && !request.isConcluded()) {
                    forwardFinalResponse(outcome, response);
                }
            } finally {
                finish(request, attempt, outcome);
            }
        }

        /** Forwards a response that is final; after other outcomes, the balancer decides whether to retry. */
        private void forwardFinalResponse(AttemptOutcome outcome, A response) {
            if (outcome == AttemptOutcome.OK) {
                responses.deliverResponse(request, response);
            } else if (outcome == AttemptOutcome.IGNORED) {
                responses.deliverEndpointRejection(request, response);
            }
        }
    }
}
