package lemonrail.exchange;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerFactory;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;
import lemonrail.discovery.EndpointList;
import lemonrail.discovery.EndpointListListener;
import lemonrail.logging.EventLog;
import lemonrail.metrics.Metrics;
import lemonrail.streaming.BodyPipe;
import lemonrail.streaming.BufferBudget;
import lemonrail.suspension.SuspendedEndpoints;
import lemonrail.time.Clock;

/**
 * The host of the decision module: the table of open requests and their attempts. It carries out what the
 * module asks for, tells it what comes of it, and sees to it that each request gets one final answer. It
 * knows no protocol: requests come from a front and go to an upstream, and answers the other way.
 *
 * @param <M> the protocol's requests
 * @param <A> the protocol's answers
 */
public final class RequestDispatcher<M extends ProtocolRequest, A> implements LoadBalancerHost, EndpointListListener {

    /** So long after its deadline a request that nothing has concluded fails. */
    private static final double OVERDUE_MS = 5;
    /** A large body of which an endpoint takes nothing for so long is given up. */
    private static final int UPLOAD_STALL_MS = 4000;
    /** The same for a large answer of which an endpoint sends or a client takes nothing. */
    private static final int ANSWER_STALL_MS = 10_000;
    /** The part of the time in which sends to a leaving endpoint must cease that is made use of. */
    private static final double DRAIN_SHARE = 0.5;
    /** The part of its window in which a keyed request's repeat may be begun: it has a way to go. */
    private static final double WINDOW_SHARE = 0.95;

    /** What happens to the module, at the time at which it is told. */
    private interface Event {
        void tell(double now);
    }

    private record Queued<M extends ProtocolRequest, A>(PendingRequest<M, A> open, Event event) {}

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final Upstream<M, A> endpoints;
    private final Metrics metrics;
    private final BufferBudget budget;
    /** Begins a watch on discovery. */
    private final Runnable watch;

    private BalancerSettings settings;
    private final LoadBalancer module;
    private final SuspendedEndpoints suspensions;
    private final Map<String, PendingRequest<M, A>> table = new HashMap<>();
    /** Events wait here while the module is at work: it is never called from within its own call. */
    private final Deque<Queued<M, A>> events = new ArrayDeque<>();

    private boolean telling;
    private boolean listed;

    /**
     * An exchange before these endpoints.
     *
     * @param decider chooses servers, repeats and refusals
     * @param seed for random numbers
     * @param known the list as it was last known, which may be old
     * @param watch begins a watch on discovery
     */
    public RequestDispatcher(
            EventLoopContext shard,
            Upstream<M, A> endpoints,
            SuspendedEndpoints suspensions,
            LoadBalancerFactory decider,
            long seed,
            EndpointList known,
            Runnable watch) {
        this.loop = shard.loop();
        this.clock = shard.clock();
        this.log = shard.log().in("exchange");
        this.endpoints = endpoints;
        this.budget = shard.budget();
        this.metrics = shard.metrics();
        this.watch = watch;
        this.suspensions = suspensions;
        settings = shard.settings();
        module = decider.create(settings, seed, this);
        tellList(EndpointUpdateKind.CACHED, known);
        watch.run();
    }

    /** Whether a list has named an endpoint yet. */
    public boolean knowsEndpoints() {
        return listed;
    }

    /** The settings in force. */
    public BalancerSettings settings() {
        return settings;
    }

    /** Takes up settings that differ in what may change while requests are open; false if they can't be. */
    public boolean settings(BalancerSettings changed) {
        if (module.supportsSettingsUpdate()) {
            settings = changed;
            raise(null, now -> module.onSettings(now, changed));
        }
        return module.supportsSettingsUpdate();
    }

    /** How many requests are open. */
    public int openRequests() {
        return table.size();
    }

    /** Whether a request of this id is open. */
    public boolean has(String id) {
        return table.containsKey(id);
    }

    // ---- what happens ----

    /** A client has sent a request; it hears of the one final answer. */
    public void request(Request request, M message, ResponseSink<A> client) {
        PendingRequest<M, A> open = new PendingRequest<>(clock.now(), clock.waitedMs(), request, message, client);
        table.put(request.id(), open);
        budget.take(message.heldBytes());
        if (!message.isComing()) {
            scheduleOverdue(open);
        }
        Request told = new Request(
                request.id(), request.requestClass(), request.tenant(), answerBy(open), request.retriedByClient());
        raise(open, now -> module.onRequest(now, told));
    }

    /**
     * When the final answer must be on its way for the client to have it within its time. It leaves room for
     * the way, and for as late as the event loop has been of late: an attempt given up at the client's very
     * deadline is always answered after it.
     */
    private double answerBy(PendingRequest<M, A> open) {
        return open.deadline - allowanceMs(open);
    }

    private double allowanceMs(PendingRequest<M, A> open) {
        return ResponseTimeReserve.ms(open.waitMs, clock.lag().recentMs());
    }

    /** The rest of a large body has come: the request's time counts from here. */
    public void bodyWhole(String id) {
        PendingRequest<M, A> open = table.get(id);
        if (open != null && !open.concluded) {
            open.deadline = clock.now() - clock.waitedMs() + open.waitMs;
            scheduleOverdue(open);
        }
    }

    private void scheduleOverdue(PendingRequest<M, A> open) {
        open.overdue = after(answerBy(open) - clock.now() + OVERDUE_MS, () -> overdue(open));
    }

    /** The client's connection has ended before its answer. */
    public void clientGone(String id) {
        PendingRequest<M, A> open = table.get(id);
        if (open != null && open.stream != null) {
            giveUp(open, open.stream, AttemptOutcome.CANCELED);
        } else if (open != null && !open.concluded) {
            conclude(open, "client_gone");
            raise(open, now -> module.onRequestCancelled(now, id));
            cancelUnwrittenAttempts(open);
        }
    }

    /** Nobody waits any more: what has not run is not begun, even where nothing may be called off. */
    private void cancelUnwrittenAttempts(PendingRequest<M, A> open) {
        for (PendingAttempt made : List.copyOf(open.attempts)) {
            if (!made.ended && !made.attempt.mayHaveRun()) {
                giveUp(open, made, AttemptOutcome.CANCELED);
            }
        }
    }

    private void overdue(PendingRequest<M, A> open) {
        if (!open.concluded) {
            log.trouble(
                    "no_decision", "no decision by the deadline", open.request.id(), "request_id", open.request.id());
            abandon(open);
        }
    }

    /** Fails a request without the module, and lets the module know that it owes nothing any more. */
    private void abandon(PendingRequest<M, A> open) {
        conclude(open, "abandoned");
        open.client.failed();
        raise(open, now -> module.onRequestCancelled(now, open.request.id()));
        cancelUnwrittenAttempts(open);
    }

    /**
     * The process ends: what is still open is given up now, and each of its clients hears so. An answer that
     * is still being passed on is cut where its client can tell, not where the process happens to end.
     */
    public void end() {
        for (PendingRequest<M, A> open : List.copyOf(table.values())) {
            if (open.stream != null) {
                giveUp(open, open.stream, AttemptOutcome.CANCELED);
            } else if (!open.concluded) {
                abandon(open);
            }
        }
    }

    @Override
    public void onEndpointList(EndpointList list) {
        tellList(list.full() ? EndpointUpdateKind.SNAPSHOT : EndpointUpdateKind.DELTA, list);
    }

    private void tellList(EndpointUpdateKind kind, EndpointList list) {
        listed |= !list.entries().isEmpty();
        endpoints.update(list);
        List<Endpoint> shown = suspensions.applyUpdate(kind, list.endpoints());
        limitAttemptsAtLeavingEndpoints(kind, shown);
        raise(null, now -> module.onEndpointUpdate(now, kind, shown));
    }

    /** Attempts that still wait for a connection to an endpoint that leaves have only so long to begin. */
    private void limitAttemptsAtLeavingEndpoints(EndpointUpdateKind kind, List<Endpoint> shown) {
        Map<String, EndpointState> told = new HashMap<>();
        shown.forEach(server -> told.put(server.id(), server.state()));
        double before = clock.now() + DRAIN_SHARE * settings.drain().graceMs();
        for (PendingRequest<M, A> open : table.values()) {
            for (PendingAttempt made : open.attempts) {
                EndpointState state =
                        told.getOrDefault(made.server, kind == EndpointUpdateKind.DELTA ? null : EndpointState.GONE);
                if (state == EndpointState.READY) {
                    made.beginsBefore = Double.POSITIVE_INFINITY;
                } else if (state != null) {
                    made.beginsBefore = Math.min(made.beginsBefore, before);
                }
            }
        }
    }

    /** Operators see these endpoints otherwise now: the module hears of them as of any news. */
    public void retell(Collection<String> ids) {
        List<Endpoint> shown = suspensions.visibleEndpoints(ids);
        if (!shown.isEmpty()) {
            limitAttemptsAtLeavingEndpoints(EndpointUpdateKind.DELTA, shown);
            raise(null, now -> module.onEndpointUpdate(now, EndpointUpdateKind.DELTA, shown));
        }
    }

    /** How many endpoints the module leaves out by its own choice. */
    public int ejectedEndpoints() {
        return module.ejectedEndpoints(clock.now());
    }

    private void raise(PendingRequest<M, A> open, Event event) {
        events.add(new Queued<>(open, event));
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Queued<M, A> next = events.poll(); next != null; next = events.poll()) {
                tell(next.open(), next.event());
            }
        } finally {
            telling = false;
        }
    }

    private void tell(PendingRequest<M, A> open, Event event) {
        try {
            event.tell(clock.now());
        } catch (RuntimeException e) {
            log.bug("the decision module failed", e);
            if (open != null) {
                open.moduleFailed = true;
            }
        }
        if (open != null && open.moduleFailed && !open.concluded && open.out == 0) {
            abandon(open);
        }
        if (open != null && open.concluded && open.out == 0) {
            if (table.remove(open.request.id(), open)) {
                budget.release(open.message.heldBytes());
            }
        }
    }

    // ---- what the module has done ----

    @Override
    public void startAttempt(String id, String server, double timeoutMs) {
        PendingRequest<M, A> open = table.get(id);
        if (open == null) {
            log.trouble("attempt_unknown", "an attempt for a request that is not open", id, "request_id", id);
            return;
        }
        double now = clock.now();
        PendingAttempt made = new PendingAttempt(open.attempts.size(), server, now, repeatWindowEnds(open, now));
        open.attempts.add(made);
        open.out++;
        double left = open.message.isComing() ? open.waitMs - allowanceMs(open) : answerBy(open) - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        if (open.concluded
                || left <= 0
                || open.attempts.size() > settings.limits().maxAttempts()) {
            end(open, made, AttemptOutcome.IGNORED);
        } else if (wait <= 0) {
            end(open, made, AttemptOutcome.TIMED_OUT);
        } else {
            if (open.message.rest() == null) {
                made.timeout = after(wait, () -> giveUp(open, made, AttemptOutcome.TIMED_OUT));
            } else {
                made.timeout = after(UPLOAD_STALL_MS, () -> checkUploadProgress(open, made, 0));
            }
            try {
                made.attempt = endpoints.send(server, open.message, wait, new AttemptEnding(open, made, wait));
            } catch (RuntimeException e) {
                // How far it came is not known, so it may have run; the module must hear of its end.
                log.bug("sending failed", e);
                end(open, made, AttemptOutcome.RESET);
            }
        }
    }

    /** Until when a repeat of a keyed request may be begun; the window counts from the first attempt. */
    private double repeatWindowEnds(PendingRequest<M, A> open, double now) {
        RequestClass kind = settings.classes().get(open.request.requestClass());
        if (kind.idempotency() == Idempotency.KEYED && open.attempts.isEmpty()) {
            open.windowEnds = now + kind.deduplicationWindowMs() * WINDOW_SHARE;
            return Double.POSITIVE_INFINITY;
        }
        return open.windowEnds;
    }

    /** Passes an answer on where it is the last word on its request. */
    private void pass(PendingRequest<M, A> open, AttemptOutcome outcome, A answer) {
        if (outcome == AttemptOutcome.OK) {
            conclude(open, "served");
            open.client.served(answer);
        } else if (outcome == AttemptOutcome.IGNORED) {
            conclude(open, "turned_away");
            open.client.turnedAway(answer);
        }
    }

    /** What one attempt leads to. */
    private final class AttemptEnding implements Upstream.Ending<A> {
        private final PendingRequest<M, A> open;
        private final PendingAttempt made;
        private final double waitMs;

        AttemptEnding(PendingRequest<M, A> open, PendingAttempt made, double waitMs) {
            this.open = open;
            this.made = made;
            this.waitMs = waitMs;
        }

        @Override
        public boolean mayBegin() {
            return !open.concluded && clock.now() < Math.min(made.beginsBefore, made.windowEnds);
        }

        @Override
        public void written() {
            made.connectMs = clock.now() - made.sentAt;
            if (open.message.rest() != null && !made.ended) {
                made.sentAt = clock.now();
                made.connectMs = 0;
                made.timeout.cancel(false);
                made.timeout = after(waitMs, () -> giveUp(open, made, AttemptOutcome.TIMED_OUT));
            }
        }

        @Override
        public void streaming(A beginning, BodyPipe body) {
            made.timeout.cancel(false);
            made.firstBytesMs = clock.now() - made.sentAt;
            if (open.concluded) {
                // Nobody waits for it any more, and more of it would only be thrown away.
                body.close();
                loop.execute(() -> giveUp(open, made, AttemptOutcome.CANCELED));
                return;
            }
            conclude(open, "streaming");
            open.stream = made;
            made.timeout = after(ANSWER_STALL_MS, () -> checkAnswerProgress(open, made, body, 0));
            raise(open, now -> module.onResponseStreamStarted(now, open.request.id(), made.number));
            open.client.streaming(beginning, body);
        }

        @Override
        public void ended(AttemptOutcome outcome, A answer) {
            try {
                if (answer != null && !open.concluded) {
                    pass(open, outcome, answer);
                }
            } finally {
                end(open, made, outcome);
            }
        }
    }

    /** Gives up an endpoint that takes nothing of a large body, though there is more of it to take. */
    private void checkUploadProgress(PendingRequest<M, A> open, PendingAttempt made, long passedBefore) {
        BodyPipe rest = open.message.rest();
        if (rest.passed() == passedBefore && !rest.isDrained()) {
            giveUp(open, made, AttemptOutcome.TIMED_OUT);
        } else {
            long passed = rest.passed();
            made.timeout = after(UPLOAD_STALL_MS, () -> checkUploadProgress(open, made, passed));
        }
    }

    /** Gives up a large answer of which nothing moves: it is the endpoint's fault, or the client's. */
    private void checkAnswerProgress(PendingRequest<M, A> open, PendingAttempt made, BodyPipe body, long passedBefore) {
        if (body.passed() == passedBefore) {
            giveUp(open, made, body.isDrained() ? AttemptOutcome.TIMED_OUT : AttemptOutcome.CANCELED);
        } else {
            long passed = body.passed();
            made.timeout = after(ANSWER_STALL_MS, () -> checkAnswerProgress(open, made, body, passed));
        }
    }

    /** Stops waiting for an attempt. One that was not written whole is known not to have run. */
    private void giveUp(PendingRequest<M, A> open, PendingAttempt made, AttemptOutcome outcome) {
        if (!made.ended) {
            // What this cuts of an answer leads back here by way of its client.
            open.stream = open.stream == made ? null : open.stream;
            boolean mayHaveRun = made.attempt.giveUp();
            end(open, made, mayHaveRun || outcome == AttemptOutcome.CANCELED ? outcome : AttemptOutcome.CONNECT_ERROR);
        }
    }

    private void end(PendingRequest<M, A> open, PendingAttempt made, AttemptOutcome outcome) {
        if (made.ended) {
            return;
        }
        made.ended = true;
        if (made.timeout != null) {
            made.timeout.cancel(false);
        }
        double took = made.firstBytesMs >= 0 ? made.firstBytesMs : clock.now() - made.sentAt;
        double connect = made.connectMs >= 0 ? Math.min(made.connectMs, took) : took;
        if (log.tellsAll()) {
            tell(
                    "attempt_ended",
                    open,
                    "endpoint",
                    made.server,
                    "attempt",
                    made.number,
                    "outcome",
                    outcome.name().toLowerCase(Locale.ROOT),
                    "took_ms",
                    took,
                    "connect_ms",
                    connect);
        }
        if (open.stream == made) {
            open.stream = null;
        }
        raise(open, now -> {
            open.out--;
            module.onAttemptFinished(
                    now,
                    new AttemptResult(
                            open.request.id(),
                            made.number,
                            made.server,
                            outcome,
                            took,
                            connect,
                            open.concluded,
                            open.message.isReplayable(),
                            LoadReport.NONE));
        });
    }

    /** Tells of a request, of which there are many. */
    private void tell(String event, PendingRequest<M, A> open, Object... fields) {
        List<Object> all = new ArrayList<>(List.of(
                "request_id",
                open.request.id(),
                "class",
                settings.classes().get(open.request.requestClass()).name()));
        all.addAll(List.of(fields));
        StringBuilder line = new StringBuilder(event);
        for (int i = 0; i + 1 < all.size(); i += 2) {
            line.append(' ').append(all.get(i)).append('=').append(all.get(i + 1));
        }
        log.debug(event, line.toString(), all.toArray());
    }

    private void conclude(PendingRequest<M, A> open, String how) {
        open.concluded = true;
        if (log.tellsAll()) {
            tell(
                    "request_concluded",
                    open,
                    "outcome",
                    how,
                    "attempts",
                    open.attempts.size(),
                    "took_ms",
                    clock.now() - open.deadline + open.waitMs);
        }
        if (clock.now() > open.deadline) {
            reportLateAnswer(open, how);
        }
        if (open.overdue != null) {
            open.overdue.cancel(false);
        }
        if (open.message.rest() != null) {
            // Of a body that is still coming nothing is needed any more, by an attempt neither.
            open.message.rest().fail();
            open.message.rest().close();
        }
    }

    /** Tells operators where the time went of a request that is answered too late. */
    private void reportLateAnswer(PendingRequest<M, A> open, String how) {
        metrics.answeredLate();
        double lateMs = clock.now() - open.deadline;
        PendingAttempt last = open.attempts.isEmpty() ? null : open.attempts.get(open.attempts.size() - 1);
        log.trouble(
                "late_answer",
                "an answer came after its client's time",
                open.request.id(),
                "request_id",
                open.request.id(),
                "outcome",
                how,
                "late_ms",
                lateMs,
                "wait_ms",
                open.waitMs,
                "unread_ms",
                open.unreadMs,
                "attempts",
                open.attempts.size(),
                "last_endpoint",
                last == null ? "none" : last.server,
                "last_sent_ms",
                last == null ? -1 : last.sentAt - open.deadline + open.waitMs,
                "last_connect_ms",
                last == null ? -1 : last.connectMs,
                "loop_late_ms",
                clock.lag().recentMs());
    }

    @Override
    public void reject(String id, double coolDownMs) {
        PendingRequest<M, A> open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, "refused");
            open.client.refused(coolDownMs);
        }
    }

    @Override
    public void fail(String id) {
        PendingRequest<M, A> open = table.get(id);
        if (open != null && !open.concluded) {
            conclude(open, "failed");
            open.client.failed();
        }
    }

    @Override
    public void cancelAttempt(String id, int attempt) {
        PendingRequest<M, A> open = table.get(id);
        if (open != null && attempt < open.attempts.size()) {
            giveUp(open, open.attempts.get(attempt), AttemptOutcome.CANCELED);
        }
    }

    @Override
    public void startTimer(double inMs, long name) {
        after(inMs, () -> raise(null, now -> module.onTimer(now, name)));
    }

    @Override
    public void closeIdleConnections(String server) {
        endpoints.disconnect(server);
    }

    @Override
    public void pollEndpoints() {
        watch.run();
    }

    @Override
    public void log(String line) {
        log.info("balancer_report", line);
    }

    private Future<?> after(double ms, Runnable task) {
        return loop.schedule(task, (long) (Math.max(0, ms) * 1e6), TimeUnit.NANOSECONDS);
    }
}
