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
 * Textbook load balancer used as a baseline. A simple rule picks the endpoint of each attempt among those in
 * service. A failed attempt is retried on another endpoint if the request class allows it; the balancer learns
 * nothing from the failure.
 */
public final class BaselineLoadBalancer implements LoadBalancer {

    /** Rules for picking an endpoint. */
    public enum Rule {
        RANDOM,
        ROUND_ROBIN,
        LEAST_OUTSTANDING,
        TWO_CHOICES
    }

    private static final double MAX_RETRY_AFTER_MS = 1000;

    private final Rule rule;
    private final BalancerSettings settings;
    private final SplittableRandom random;
    private final LoadBalancerHost host;
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<String> ready = new ArrayList<>();
    private final Map<String, Integer> outstandingAttempts = new HashMap<>();
    private final Map<String, PendingRequest> pendingRequests = new HashMap<>();
    private int nextIndex;

    private static final class PendingRequest {
        private final Request request;
        private int attempts;
        private String lastEndpoint;
        private boolean mayHaveRun;

        PendingRequest(Request request) {
            this.request = request;
        }
    }

    /** Creates a balancer that picks endpoints by {@code rule}. */
    public BaselineLoadBalancer(Rule rule, BalancerSettings settings, long seed, LoadBalancerHost host) {
        this.rule = rule;
        this.settings = settings;
        this.host = host;
        random = new SplittableRandom(seed);
        nextIndex = random.nextInt(1 << 16);
    }

    @Override
    public void onEndpointUpdate(double now, EndpointUpdateKind kind, List<Endpoint> entries) {
        if (kind == EndpointUpdateKind.FAILED) {
            return;
        }
        if (kind != EndpointUpdateKind.DELTA) {
            endpoints.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.state() == EndpointState.GONE) {
                endpoints.remove(entry.id());
            } else {
                endpoints.put(entry.id(), entry);
            }
        }
        ready.clear();
        endpoints.values().stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .map(Endpoint::id)
                .forEach(ready::add);
    }

    @Override
    public void onRequest(double now, Request request) {
        settings.check(request);
        PendingRequest pending = new PendingRequest(request);
        pendingRequests.put(request.id(), pending);
        startAttempt(now, pending);
    }

    private void startAttempt(double now, PendingRequest pending) {
        String endpoint = pickEndpoint(pending.lastEndpoint);
        if (endpoint == null) {
            conclude(pending);
            return;
        }
        pending.attempts++;
        pending.lastEndpoint = endpoint;
        outstandingAttempts.merge(endpoint, 1, Integer::sum);
        host.startAttempt(pending.request.id(), endpoint, pending.request.deadlineMs() - now);
    }

    private String pickEndpoint(String excluded) {
        List<String> candidates = ready.size() > 1 && ready.contains(excluded)
                ? ready.stream().filter(id -> !id.equals(excluded)).toList()
                : ready;
        if (candidates.isEmpty()) {
            return null;
        }
        return switch (rule) {
            case RANDOM -> candidates.get(random.nextInt(candidates.size()));
            case ROUND_ROBIN -> candidates.get(Math.floorMod(nextIndex++, candidates.size()));
            case TWO_CHOICES ->
                lessLoaded(
                        candidates.get(random.nextInt(candidates.size())),
                        candidates.get(random.nextInt(candidates.size())));
            case LEAST_OUTSTANDING -> {
                int startIndex = random.nextInt(candidates.size());
                String best = candidates.get(startIndex);
                for (int i = 1; i < candidates.size(); i++) {
                    best = lessLoaded(best, candidates.get((startIndex + i) % candidates.size()));
                }
                yield best;
            }
        };
    }

    private String lessLoaded(String first, String second) {
        return outstandingAttempts.getOrDefault(second, 0) < outstandingAttempts.getOrDefault(first, 0)
                ? second
                : first;
    }

    private void conclude(PendingRequest pending) {
        pendingRequests.remove(pending.request.id());
        RequestClass requestClass = settings.classes().get(pending.request.requestClass());
        if (!pending.mayHaveRun || requestClass.mayRejectAfterExecution()) {
            host.reject(
                    pending.request.id(),
                    Math.min(MAX_RETRY_AFTER_MS, settings.limits().maxRetryAfterMs()));
        } else {
            host.fail(pending.request.id());
        }
    }

    @Override
    public void onAttemptFinished(double now, AttemptResult finished) {
        outstandingAttempts.merge(
                finished.endpoint(), -1, (count, change) -> count + change > 0 ? count + change : null);
        PendingRequest pending = pendingRequests.get(finished.request());
        if (pending == null) {
            return;
        }
        if (finished.concluded()) {
            pendingRequests.remove(finished.request());
            return;
        }
        boolean attemptMayHaveRun = !finished.outcome().provesNotExecuted();
        pending.mayHaveRun |= attemptMayHaveRun;
        RequestClass requestClass = settings.classes().get(pending.request.requestClass());
        boolean retry = finished.replayable()
                && pending.attempts < settings.limits().maxAttempts()
                && finished.outcome() != AttemptOutcome.TIMED_OUT
                && now < pending.request.deadlineMs()
                && (!attemptMayHaveRun || requestClass.idempotency() == Idempotency.IDEMPOTENT);
        if (retry) {
            startAttempt(now, pending);
        } else {
            conclude(pending);
        }
    }

    @Override
    public void onResponseStreamStarted(double now, String request, int attempt) {
        pendingRequests.remove(request);
    }

    @Override
    public void onRequestCancelled(double now, String request) {
        PendingRequest pending = pendingRequests.remove(request);
        if (pending != null && pending.attempts > 0) {
            host.cancelAttempt(request, pending.attempts - 1);
        }
    }

    @Override
    public void onTimer(double now, long name) {
        // This balancer sets no timers.
    }
}
