// The decision module. Its events are declared in LoadBalancer.java, its actions in LoadBalancerHost.java.
package lemonrail.core.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import lemonrail.core.LatencyEstimator;
import lemonrail.core.LoadSheddingReport;
import lemonrail.core.balancer.*;

/**
 * One balancer after Boxcar: a bounded pool of ranked slots on servers; every call takes the lowest-ranked
 * free slot, a failed attempt discards its slot and the call goes on to the next best one within bounds,
 * and a full pool turns calls away. Single-threaded; time comes with the events.
 */
public final class BoxcarLoadBalancer implements LoadBalancer {

    /** The most servers placed anew for each change of the list, however fast changes come. */
    private static final int SETTLED_A_CHANGE = 32;

    private BalancerSettings settings;
    private final LoadBalancerHost host;
    private final EndpointListPoller listPoller;
    private final Map<String, EndpointRecord> targets = new LinkedHashMap<>();
    private final Map<String, InFlightRequest> calls = new HashMap<>();
    private final LatencyEstimator[] learned;
    private final boolean anyRepeatable;
    private final SlotRanking ranks;
    private final SlowStart cold;
    private final ZoneAffinity locality;
    private final SlotPool pool;
    private final OutlierDetector health;
    private final ConcurrencyLimit limit;
    private final RetryPolicy retries;
    private final LoadSheddingReport report = new LoadSheddingReport();
    /** The pause between refills: by it, too, ranks may lag behind the list. */
    private final double pauseMs;

    private double nextRefill;
    private double nextSettle;

    /** A balancer that knows its settings and nothing else; it acts through {@code host}. */
    public BoxcarLoadBalancer(BalancerSettings settings, long seed, LoadBalancerHost host) {
        this.settings = settings;
        this.host = host;
        pauseMs = settings.limits().connectTimeoutMs() / 2;
        listPoller = new EndpointListPoller(settings.pollIntervalMs(), new SplittableRandom(seed), host);
        learned = settings.classes().stream().map(LatencyEstimator::new).toArray(LatencyEstimator[]::new);
        anyRepeatable = settings.classes().stream().anyMatch(kind -> kind.idempotency() != Idempotency.NON_IDEMPOTENT);
        ranks = new SlotRanking(settings);
        cold = new SlowStart(ranks);
        locality = new ZoneAffinity(settings, ranks);
        pool = new SlotPool(ranks, cold, locality, host);
        health = new OutlierDetector(settings, pool, report);
        limit = new ConcurrencyLimit(settings, ranks, health, locality, report);
        retries = new RetryPolicy(settings);
        if (settings.pollsEndpoints()) {
            listPoller.scheduleFirstPoll();
        }
    }

    @Override
    public boolean supportsSettingsUpdate() {
        return true;
    }

    @Override
    public void onSettings(double now, BalancerSettings changed) {
        settings = changed;
        limit.adopt(changed);
        retries.settings = changed;
        for (int i = 0; i < learned.length; i++) {
            learned[i].deadline(changed.classes().get(i).deadlineMs());
        }
    }

    /** How many requests are in hand: not answered yet, or answered with an attempt still out. */
    public int openCalls() {
        return calls.size();
    }

    /** How many servers are known, gone ones with calls still out there among them. */
    int knownServers() {
        return targets.size();
    }

    /** How many servers that discovery calls ready are left out for what they did; it changes nothing. */
    @Override
    public int ejectedEndpoints(double now) {
        return (int) targets.values().stream()
                .filter(target -> OutlierDetector.isAvoided(now, target))
                .count();
    }

    @Override
    public void onRequest(double now, Request request) {
        settings.check(request);
        if (calls.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is in hand already");
        }
        tick(now);
        InFlightRequest call = new InFlightRequest(
                now, request, settings.classes().get(request.requestClass()), learned[request.requestClass()]);
        calls.put(request.id(), call);
        locality.demand(call.learned.baseMs());
        retries.taken();
        boolean placed = limit.admits(now, call) && place(now, call);
        cold.answers.came(placed);
        if (!placed) {
            answer(call);
        }
    }

    /** Sends a call to the lowest-ranked free slot it may use, second-best servers last; false if none. */
    private boolean place(double now, InFlightRequest call) {
        Slot best = pool.lowest(slot -> mayUse(now, call, slot) && !isSecondBest(call, slot.target));
        if (best == null) {
            best = pool.lowest(slot -> mayUse(now, call, slot));
        }
        if (best != null) {
            pool.adopt(now, best);
            send(now, call, best);
        }
        return best != null;
    }

    private boolean mayUse(double now, InFlightRequest call, Slot slot) {
        return cold.gentle(now, slot)
                && !(call.attempts.isEmpty() && limit.crowds(slot))
                && RetryPolicy.sameGroup(call, slot.target);
    }

    /** A call that cannot be tried again must not be the one to find out whether a server is well. */
    private boolean isSecondBest(InFlightRequest call, EndpointRecord target) {
        return (target.onTrial && call.kind.idempotency() == Idempotency.NON_IDEMPOTENT && anyRepeatable)
                || (!call.attempts.isEmpty() && call.attempts.stream().anyMatch(a -> a.slot().target == target));
    }

    private void send(double now, InFlightRequest call, Slot slot) {
        double timeout = retries.timeout(now, call);
        call.attempts.add(new InFlightRequest.Attempt(slot, now, new AttemptOutcome[1]));
        call.out++;
        slot.busy = true;
        slot.target.inFlight++;
        limit.sent();
        host.startAttempt(call.request.id(), slot.target.id, timeout);
    }

    /** The final answer of a call that cannot be served: a refusal where that is true, else a failure. */
    private void answer(InFlightRequest call) {
        call.answered = true;
        if ((call.mayHaveRun == null && call.out == 0) || call.kind.mayRejectAfterExecution()) {
            // Told with every refusal, also where few clients are said to heed it: it costs nothing.
            host.reject(call.request.id(), settings.limits().maxRetryAfterMs() / 4);
        } else {
            host.fail(call.request.id());
        }
        forget(call);
    }

    private void forget(InFlightRequest call) {
        if (call.isOver()) {
            calls.remove(call.request.id());
        }
    }

    @Override
    public void onAttemptFinished(double now, AttemptResult finished) {
        tick(now);
        InFlightRequest call = calls.get(finished.request());
        InFlightRequest.Attempt attempt = call == null ? null : call.open(finished.attempt());
        if (attempt == null) {
            return;
        }
        AttemptOutcome outcome = finished.outcome();
        call.end(attempt, outcome);
        learn(now, call, attempt.slot().target, finished);
        limit.judge(now, call, attempt, finished);
        release(now, attempt.slot(), outcome, OutlierDetector.isFailure(call, finished));
        if (finished.concluded()) {
            call.answered = true;
        } else if (!call.answered
                && !(finished.replayable() && retries.allows(now, call, outcome) && place(now, call))) {
            answer(call);
        }
        forget(call);
    }

    @Override
    public void onResponseStreamStarted(double now, String request, int attempt) {
        tick(now);
        InFlightRequest call = calls.get(request);
        if (call == null || attempt >= call.attempts.size()) {
            return;
        }
        call.answered = true;
        Slot slot = call.attempts.get(attempt).slot();
        if (!slot.streaming && call.open(attempt) != null) {
            slot.streaming = true;
            slot.target.inFlight--;
            limit.inFlight--;
        }
    }

    @Override
    public void onRequestCancelled(double now, String request) {
        tick(now);
        InFlightRequest call = calls.get(request);
        if (call == null) {
            return;
        }
        call.answered = true;
        // Nobody waits for these attempts any more: work that has not begun need not be done.
        for (int i = 0; i < call.attempts.size() && settings.limits().cancel(); i++) {
            if (call.open(i) != null) {
                host.cancelAttempt(request, i);
            }
        }
        forget(call);
    }

    private void learn(double now, InFlightRequest call, EndpointRecord target, AttemptResult finished) {
        boolean ok = finished.outcome() == AttemptOutcome.OK;
        if (ok || finished.outcome() == AttemptOutcome.TIMED_OUT) {
            call.learned.waited(finished.endpointTimeMs());
            health.waited(now, target, call.learned, finished.endpointTimeMs());
        }
        if (ok) {
            call.learned.answered(finished.endpointTimeMs());
            cold.answers.served();
        }
    }

    private void release(double now, Slot slot, AttemptOutcome outcome, boolean failed) {
        EndpointRecord target = slot.target;
        slot.busy = false;
        target.inFlight -= slot.streaming ? 0 : 1;
        limit.inFlight -= slot.streaming ? 0 : 1;
        slot.streaming = false;
        if (target.forgotten) {
            return;
        }
        health.judge(now, slot, outcome, failed);
        if (slot.discarded && target.held == 0 && target.inFlight == 0) {
            host.closeIdleConnections(target.id);
            forgetGone(now, target);
        }
    }

    /** What Boxcar does in the background: refill toward lower ranks, a pause between tries. */
    private void tick(double now) {
        if (now < nextRefill) {
            return;
        }
        nextRefill = now + pauseMs;
        settle(now);
        locality.tick(now, pauseMs);
        report.tell(now, settings.tier(), limit.limit, health.ailing, ranks.ready, host::log);
        health.tick(now);
        cold.tick(now, target -> pool.reprice(now, target, cold.warmth(now, target) >= 1));
        limit.resize(cold.able(now));
        pool.refill(now, limit.fadingPeak());
    }

    /** Gives the ready servers their places and slots their ranks, if the list has changed any. */
    private void settle(double now) {
        if (ranks.unsettled > 0) {
            ranks.settle();
            pool.settle(now);
            nextSettle = now + pauseMs;
        }
    }

    @Override
    public void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> entries) {
        if (kind == EndpointUpdateKind.FAILED) {
            listPoller.onPollFailed();
            return;
        }
        listPoller.onListReceived();
        if (kind != EndpointUpdateKind.DELTA) {
            Set<String> named = entries.stream().map(Endpoint::id).collect(Collectors.toSet());
            List.copyOf(targets.values()).stream()
                    .filter(target -> !named.contains(target.id))
                    .forEach(target -> update(now, target.listed.withState(EndpointState.GONE)));
        }
        entries.forEach(entry -> update(now, entry));
        // In a storm the next refill pause does it, once for many: it costs as the list, not as the change.
        if (now >= nextSettle || ranks.unsettled * SETTLED_A_CHANGE >= ranks.ready) {
            settle(now);
        }
        limit.resize(cold.able(now));
    }

    private void update(double now, Endpoint entry) {
        EndpointRecord target = targets.get(entry.id());
        if (target == null && entry.state() == EndpointState.GONE) {
            return;
        }
        if (target != null && entry.startedMs() != target.listed.startedMs()) {
            // A new process: nothing of its forerunner counts, not even how the calls still out there end.
            pool.dropAll(target);
            forget(now, target);
            target = null;
        }
        if (target == null) {
            target = new EndpointRecord(entry);
            targets.put(entry.id(), target);
        }
        if (entry.state() == EndpointState.READY && target.listed.state() != EndpointState.READY) {
            // Back from a drain, as by an operator's word: what it did before counts no more.
            health.heal(target);
        }
        ranks.list(target, entry);
        cold.watch(now, target);
        if (entry.state() != EndpointState.READY) {
            pool.dropAll(target);
        }
        pool.reprice(now, target, true);
        forgetGone(now, target);
    }

    private void forgetGone(double now, EndpointRecord target) {
        if (target.listed.state() == EndpointState.GONE && target.inFlight == 0) {
            forget(now, target);
        }
    }

    /** From here on the server is none of this balancer's; ends of calls there only free what they held. */
    private void forget(double now, EndpointRecord target) {
        ranks.list(target, target.listed.withState(EndpointState.GONE));
        health.heal(target);
        target.forgotten = true;
        pool.offer(now, target);
        targets.remove(target.id);
        health.forget(target);
        cold.forget(target);
    }

    @Override
    public void onTimer(double now, long name) {
        tick(now);
        listPoller.onTimer(name);
    }
}
