package lemonrail.lab.decider;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.LoadBalancer;
import lemonrail.core.balancer.LoadBalancerHost;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;

/**
 * A balancer of the textbook, to compare with: each attempt goes to a server that a plain rule picks among
 * those in service, a failed one is repeated elsewhere as its class allows, and nothing is learnt from it.
 */
public final class BaselineLoadBalancer implements LoadBalancer {

    /** The rules to pick by. */
    public enum Rule {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OUTSTANDING,
        TWO_CHOICES
    }

    private static final double MOST_COOL_DOWN_MS = 1000;

    private final Rule rule;
    private final BalancerSettings settings;
    private final SplittableRandom random;
    private final LoadBalancerHost host;
    private final Map<String, Endpoint> servers = new LinkedHashMap<>();
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
    public BaselineLoadBalancer(Rule rule, BalancerSettings settings, long seed, LoadBalancerHost host) {
        this.rule = rule;
        this.settings = settings;
        this.host = host;
        random = new SplittableRandom(seed);
        turn = random.nextInt(1 << 16);
    }

    @Override
    public void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> entries) {
        if (kind == EndpointUpdateKind.FAILED) {
            return;
        }
        if (kind != EndpointUpdateKind.DELTA) {
            servers.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.state() == EndpointState.GONE) {
                servers.remove(entry.id());
            } else {
                servers.put(entry.id(), entry);
            }
        }
        ready.clear();
        servers.values().stream()
                .filter(server -> server.state() == EndpointState.READY)
                .map(Endpoint::id)
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
        host.startAttempt(call.request.id(), server, call.request.deadlineMs() - now);
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
        if (!call.mayHaveRun || kind.mayRejectAfterExecution()) {
            host.reject(
                    call.request.id(),
                    Math.min(MOST_COOL_DOWN_MS, settings.limits().maxRetryAfterMs()));
        } else {
            host.fail(call.request.id());
        }
    }

    @Override
    public void onAttemptFinished(double now, AttemptResult finished) {
        outstanding.merge(finished.endpoint(), -1, (had, less) -> had + less > 0 ? had + less : null);
        Call call = calls.get(finished.request());
        if (call == null) {
            return;
        }
        if (finished.concluded()) {
            calls.remove(finished.request());
            return;
        }
        boolean ran = !finished.outcome().provesNotExecuted();
        call.mayHaveRun |= ran;
        RequestClass kind = settings.classes().get(call.request.requestClass());
        boolean again = finished.replayable()
                && call.attempts < settings.limits().maxAttempts()
                && finished.outcome() != AttemptOutcome.TIMED_OUT
                && now < call.request.deadlineMs()
                && (!ran || kind.idempotency() == Idempotency.IDEMPOTENT);
        if (again) {
            send(now, call);
        } else {
            end(call);
        }
    }

    @Override
    public void onResponseStreamStarted(double now, String request, int attempt) {
        calls.remove(request);
    }

    @Override
    public void onRequestCancelled(double now, String request) {
        Call call = calls.remove(request);
        if (call != null && call.attempts > 0) {
            host.cancelAttempt(request, call.attempts - 1);
        }
    }

    @Override
    public void onTimer(double now, long name) {
        // It sets none.
    }
}
