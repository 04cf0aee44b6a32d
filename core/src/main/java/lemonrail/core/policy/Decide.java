// The decision module. The types, events and actions it deals in are declared in Contract.java.
package lemonrail.core.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import lemonrail.core.AnswerTimes;
import lemonrail.core.Contract.*;
import lemonrail.core.TroubleReport;

/**
 * One balancer after Boxcar: a bounded pool of ranked slots on servers; every call takes the lowest-ranked
 * free slot, a failed attempt discards its slot and the call goes on to the next best one within bounds,
 * and a full pool turns calls away. Single-threaded; time comes with the events.
 */
public final class Decide implements Events {

    /** The most servers placed anew for each change of the list, however fast changes come. */
    private static final int SETTLED_A_CHANGE = 32;

    private Settings settings;
    private final Actions host;
    private final EndpointListPoller listPoller;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private final AnswerTimes[] learned;
    private final boolean anyRepeatable;
    private final Ranks ranks;
    private final Cold cold;
    private final Locality locality;
    private final Pool pool;
    private final Health health;
    private final Limit limit;
    private final Retries retries;
    private final TroubleReport report = new TroubleReport();
    /** The pause between refills: by it, too, ranks may lag behind the list. */
    private final double pauseMs;

    private double nextRefill;
    private double nextSettle;

    /** A balancer that knows its settings and nothing else; it acts through {@code host}. */
    public Decide(Settings settings, long seed, Actions host) {
        this.settings = settings;
        this.host = host;
        pauseMs = settings.limits().connectTimeoutMs() / 2;
        listPoller = new EndpointListPoller(settings.rules().askWithinMs(), new SplittableRandom(seed), host);
        learned = settings.classes().stream().map(AnswerTimes::new).toArray(AnswerTimes[]::new);
        anyRepeatable = settings.classes().stream().anyMatch(kind -> kind.effect() != Effect.ONCE);
        ranks = new Ranks(settings);
        cold = new Cold(ranks);
        locality = new Locality(settings, ranks);
        pool = new Pool(ranks, cold, locality, host);
        health = new Health(settings, pool, report);
        limit = new Limit(settings, ranks, health, locality, report);
        retries = new Retries(settings);
        if (settings.asksForList()) {
            listPoller.scheduleFirstPoll();
        }
    }

    @Override
    public boolean takesSettings() {
        return true;
    }

    @Override
    public void onSettings(double now, Settings changed) {
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
    public int avoided(double now) {
        return (int) targets.values().stream()
                .filter(target -> Health.isAvoided(now, target))
                .count();
    }

    @Override
    public void onRequest(double now, Request request) {
        settings.check(request);
        if (calls.containsKey(request.id())) {
            throw new IllegalArgumentException("request " + request.id() + " is in hand already");
        }
        tick(now);
        Call call =
                new Call(now, request, settings.classes().get(request.requestClass()), learned[request.requestClass()]);
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
    private boolean place(double now, Call call) {
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

    private boolean mayUse(double now, Call call, Slot slot) {
        return cold.gentle(now, slot)
                && !(call.attempts.isEmpty() && limit.crowds(slot))
                && Retries.sameGroup(call, slot.target);
    }

    /** A call that cannot be tried again must not be the one to find out whether a server is well. */
    private boolean isSecondBest(Call call, Target target) {
        return (target.onTrial && call.kind.effect() == Effect.ONCE && anyRepeatable)
                || (!call.attempts.isEmpty() && call.attempts.stream().anyMatch(a -> a.slot().target == target));
    }

    private void send(double now, Call call, Slot slot) {
        double timeout = retries.timeout(now, call);
        call.attempts.add(new Call.Attempt(slot, now, new Outcome[1]));
        call.out++;
        slot.busy = true;
        slot.target.inFlight++;
        limit.sent();
        host.send(call.request.id(), slot.target.id, timeout);
    }

    /** The final answer of a call that cannot be served: a refusal where that is true, else a failure. */
    private void answer(Call call) {
        call.answered = true;
        if ((call.mayHaveRun == null && call.out == 0) || call.kind.refusableAfterRun()) {
            // Told with every refusal, also where few clients are said to heed it: it costs nothing.
            host.refuse(call.request.id(), settings.limits().maxCoolDownMs() / 4);
        } else {
            host.fail(call.request.id());
        }
        forget(call);
    }

    private void forget(Call call) {
        if (call.isOver()) {
            calls.remove(call.request.id());
        }
    }

    @Override
    public void onFinished(double now, Finished finished) {
        tick(now);
        Call call = calls.get(finished.request());
        Call.Attempt attempt = call == null ? null : call.open(finished.attempt());
        if (attempt == null) {
            return;
        }
        Outcome outcome = finished.outcome();
        call.end(attempt, outcome);
        learn(now, call, attempt.slot().target, finished);
        limit.judge(now, call, attempt, finished);
        release(now, attempt.slot(), outcome, Health.isFailure(call, finished));
        if (finished.concluded()) {
            call.answered = true;
        } else if (!call.answered
                && !(finished.replayable() && retries.allows(now, call, outcome) && place(now, call))) {
            answer(call);
        }
        forget(call);
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt) {
        tick(now);
        Call call = calls.get(request);
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
    public void onClientGone(double now, String request) {
        tick(now);
        Call call = calls.get(request);
        if (call == null) {
            return;
        }
        call.answered = true;
        // Nobody waits for these attempts any more: work that has not begun need not be done.
        for (int i = 0; i < call.attempts.size() && settings.limits().cancel(); i++) {
            if (call.open(i) != null) {
                host.cancel(request, i);
            }
        }
        forget(call);
    }

    private void learn(double now, Call call, Target target, Finished finished) {
        boolean ok = finished.outcome() == Outcome.OK;
        if (ok || finished.outcome() == Outcome.TIMED_OUT) {
            call.learned.waited(finished.servedMs());
            health.waited(now, target, call.learned, finished.servedMs());
        }
        if (ok) {
            call.learned.answered(finished.servedMs());
            cold.answers.served();
        }
    }

    private void release(double now, Slot slot, Outcome outcome, boolean failed) {
        Target target = slot.target;
        slot.busy = false;
        target.inFlight -= slot.streaming ? 0 : 1;
        limit.inFlight -= slot.streaming ? 0 : 1;
        slot.streaming = false;
        if (target.forgotten) {
            return;
        }
        health.judge(now, slot, outcome, failed);
        if (slot.discarded && target.held == 0 && target.inFlight == 0) {
            host.disconnect(target.id);
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
    public void onServers(double now, ListKind kind, List<Server> entries) {
        if (kind == ListKind.FAILED) {
            listPoller.onPollFailed();
            return;
        }
        listPoller.onListReceived();
        if (kind != ListKind.DELTA) {
            Set<String> named = entries.stream().map(Server::id).collect(Collectors.toSet());
            List.copyOf(targets.values()).stream()
                    .filter(target -> !named.contains(target.id))
                    .forEach(target -> update(now, target.listed.with(State.GONE)));
        }
        entries.forEach(entry -> update(now, entry));
        // In a storm the next refill pause does it, once for many: it costs as the list, not as the change.
        if (now >= nextSettle || ranks.unsettled * SETTLED_A_CHANGE >= ranks.ready) {
            settle(now);
        }
        limit.resize(cold.able(now));
    }

    private void update(double now, Server entry) {
        Target target = targets.get(entry.id());
        if (target == null && entry.state() == State.GONE) {
            return;
        }
        if (target != null && entry.startedMs() != target.listed.startedMs()) {
            // A new process: nothing of its forerunner counts, not even how the calls still out there end.
            pool.dropAll(target);
            forget(now, target);
            target = null;
        }
        if (target == null) {
            target = new Target(entry);
            targets.put(entry.id(), target);
        }
        if (entry.state() == State.READY && target.listed.state() != State.READY) {
            // Back from a drain, as by an operator's word: what it did before counts no more.
            health.heal(target);
        }
        ranks.list(target, entry);
        cold.watch(now, target);
        if (entry.state() != State.READY) {
            pool.dropAll(target);
        }
        pool.reprice(now, target, true);
        forgetGone(now, target);
    }

    private void forgetGone(double now, Target target) {
        if (target.listed.state() == State.GONE && target.inFlight == 0) {
            forget(now, target);
        }
    }

    /** From here on the server is none of this balancer's; ends of calls there only free what they held. */
    private void forget(double now, Target target) {
        ranks.list(target, target.listed.with(State.GONE));
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
