package lemonrail.lab.decider;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lemonrail.core.Contract.Actions;
import lemonrail.core.Contract.Effect;
import lemonrail.core.Contract.Events;
import lemonrail.core.Contract.Finished;
import lemonrail.core.Contract.ListKind;
import lemonrail.core.Contract.Outcome;
import lemonrail.core.Contract.Request;
import lemonrail.core.Contract.RequestClass;
import lemonrail.core.Contract.Server;
import lemonrail.core.Contract.Settings;
import lemonrail.core.Contract.State;

/**
 * A balancer of the textbook, to compare with: each attempt goes to a server that a plain rule picks among
 * those in service, a failed one is repeated elsewhere as its class allows, and nothing is learnt from it.
 */
public final class Textbook implements Events {

    /** The rules to pick by. */
    public enum Rule {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OUTSTANDING,
        TWO_CHOICES
    }

    private static final double MOST_COOL_DOWN_MS = 1000;

    private final Rule rule;
    private final Settings settings;
    private final SplittableRandom random;
    private final Actions host;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<String> ready = new ArrayList<>();
    private final Map<String, Integer> outstanding = new HashMap<>();
    private final Map<String, Call> calls = new HashMap<>();
    private int turn;

    private static final class Call {
        private final Request request;
        private int attempts;
        private String last;
        private boolean mayHaveRun;

        Call(Request request) {
            this.request = request;
        }
    }

    /** A balancer that picks by this rule. */
    public Textbook(Rule rule, Settings settings, long seed, Actions host) {
        this.rule = rule;
        this.settings = settings;
        this.host = host;
        random = new SplittableRandom(seed);
        turn = random.nextInt(1 << 16);
    }

    @Override
    public void onServers(double now, ListKind kind, List<Server> entries) {
        if (kind == ListKind.FAILED) {
            return;
        }
        if (kind != ListKind.DELTA) {
            servers.clear();
        }
        for (Server entry : entries) {
            if (entry.state() == State.GONE) {
                servers.remove(entry.id());
            } else {
                servers.put(entry.id(), entry);
            }
        }
        ready.clear();
        servers.values().stream()
                .filter(server -> server.state() == State.READY)
                .map(Server::id)
                .forEach(ready::add);
    }

    @Override
    public void onRequest(double now, Request request) {
        settings.check(request);
        Call call = new Call(request);
        calls.put(request.id(), call);
        send(now, call);
    }

    private void send(double now, Call call) {
        String server = pick(call.last);
        if (server == null) {
            end(call);
            return;
        }
        call.attempts++;
        call.last = server;
        outstanding.merge(server, 1, Integer::sum);
        host.send(call.request.id(), server, call.request.deadlineMs() - now);
    }

    private String pick(String not) {
        List<String> from = ready.size() > 1 && ready.contains(not)
                ? ready.stream().filter(id -> !id.equals(not)).toList()
                : ready;
        if (from.isEmpty()) {
            return null;
        }
        return switch (rule) {
            case RANDOM -> from.get(random.nextInt(from.size()));
            case ROUND_ROBIN -> from.get(Math.floorMod(turn++, from.size()));
            case TWO_CHOICES -> lesser(from.get(random.nextInt(from.size())), from.get(random.nextInt(from.size())));
            case LEAST_OUTSTANDING -> {
                int begin = random.nextInt(from.size());
                String best = from.get(begin);
                for (int i = 1; i < from.size(); i++) {
                    best = lesser(best, from.get((begin + i) % from.size()));
                }
                yield best;
            }
        };
    }

    private String lesser(String one, String other) {
        return outstanding.getOrDefault(other, 0) < outstanding.getOrDefault(one, 0) ? other : one;
    }

    private void end(Call call) {
        calls.remove(call.request.id());
        RequestClass kind = settings.classes().get(call.request.requestClass());
        if (!call.mayHaveRun || kind.refusableAfterRun()) {
            host.refuse(
                    call.request.id(),
                    Math.min(MOST_COOL_DOWN_MS, settings.limits().maxCoolDownMs()));
        } else {
            host.fail(call.request.id());
        }
    }

    @Override
    public void onFinished(double now, Finished finished) {
        outstanding.merge(finished.server(), -1, (had, less) -> had + less > 0 ? had + less : null);
        Call call = calls.get(finished.request());
        if (call == null) {
            return;
        }
        if (finished.concluded()) {
            calls.remove(finished.request());
            return;
        }
        boolean ran = !finished.outcome().neverRan();
        call.mayHaveRun |= ran;
        RequestClass kind = settings.classes().get(call.request.requestClass());
        boolean again = finished.replayable()
                && call.attempts < settings.limits().tries()
                && finished.outcome() != Outcome.TIMED_OUT
                && now < call.request.deadlineMs()
                && (!ran || kind.effect() == Effect.REPEATABLE);
        if (again) {
            send(now, call);
        } else {
            end(call);
        }
    }

    @Override
    public void onStreamStarted(double now, String request, int attempt) {
        calls.remove(request);
    }

    @Override
    public void onClientGone(double now, String request) {
        Call call = calls.remove(request);
        if (call != null && call.attempts > 0) {
            host.cancel(request, call.attempts - 1);
        }
    }

    @Override
    public void onTimer(double now, long name) {
        // It sets none.
    }
}
