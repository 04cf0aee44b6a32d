package lemonrail.core.policy;

import java.util.ArrayList;
import java.util.List;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.balancer.TenantQuota;

/** A balancer with a recording host and a manually advanced clock. */
final class Fixture {

    static final int IDEMPOTENT = 0;
    static final int NON_IDEMPOTENT = 1;
    static final int KEYED_BY_CELL = 2;

    final RecordingHost host = new RecordingHost();
    final BoxcarLoadBalancer balancer;
    double nowMs = 1_000_000;
    private int requestCount;

    Fixture(BalancerSettings settings) {
        balancer = new BoxcarLoadBalancer(settings, 7, host);
    }

    static BalancerSettings settings(
            int balancers, int balancerIndex, int tier, boolean parallelAttempts, TenantQuota... tenants) {
        return settings(balancers, balancerIndex, tier, parallelAttempts, 10_000, tenants);
    }

    /** Returns settings with this poll interval of the endpoint list. */
    static BalancerSettings settingsWithPollInterval(double pollIntervalMs) {
        return settings(1, 0, 0, true, pollIntervalMs);
    }

    private static BalancerSettings settings(
            int balancers,
            int balancerIndex,
            int tier,
            boolean parallelAttempts,
            double pollIntervalMs,
            TenantQuota... tenants) {
        List<RequestClass> classes = List.of(
                new RequestClass("read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass(
                        "order", 1000, 3000, 1, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass("save", 1000, 3000, 1, 0.5, Idempotency.KEYED, DeduplicationScope.CELL, 800, false));
        return new BalancerSettings(
                balancers,
                balancerIndex,
                0,
                tier,
                false,
                true,
                0.1,
                0,
                classes,
                List.of(tenants),
                new AttemptLimits(3, parallelAttempts, true, 2000, 200),
                new SlowStartSettings(0.3, 8000, 3, 1000),
                new DrainSettings(1000),
                pollIntervalMs);
    }

    static Fixture of(int balancers, int balancerIndex, int tier) {
        return new Fixture(settings(balancers, balancerIndex, tier, true));
    }

    static Endpoint endpoint(String id) {
        return new Endpoint(id, 0, 0, 0, 0, EndpointState.READY, 1);
    }

    static Endpoint endpoint(String id, int cell, double startedMs, EndpointState state) {
        return new Endpoint(id, 0, 0, cell, startedMs, state, 1);
    }

    static List<Endpoint> endpoints(int count) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            list.add(endpoint("s" + i));
        }
        return list;
    }

    Fixture setEndpoints(List<Endpoint> endpoints) {
        balancer.onEndpointUpdate(nowMs, EndpointUpdateKind.SNAPSHOT, endpoints);
        return this;
    }

    void updateEndpoints(Endpoint... endpoints) {
        balancer.onEndpointUpdate(nowMs, EndpointUpdateKind.DELTA, List.of(endpoints));
    }

    String sendRequest(int requestClass) {
        return sendRequest(requestClass, 0);
    }

    String sendRequest(int requestClass, int tenant) {
        String id = "r" + requestCount++;
        balancer.onRequest(nowMs, new Request(id, requestClass, tenant, nowMs + 3000, false));
        return id;
    }

    void finishAttempt(RecordingHost.StartedAttempt attempt, AttemptOutcome outcome, double durationMs) {
        balancer.onAttemptFinished(
                nowMs,
                new AttemptResult(
                        attempt.request(),
                        attempt.attempt(),
                        attempt.endpoint(),
                        outcome,
                        durationMs,
                        outcome == AttemptOutcome.OK,
                        LoadReport.NONE));
    }

    /** Ejects an endpoint with two consecutive failures, which are not attributed to chance, and returns its id. */
    String ejectByTwoFailures(AttemptOutcome outcome) {
        sendRequest(IDEMPOTENT);
        RecordingHost.StartedAttempt first = host.lastAttempt();
        finishAttempt(first, outcome, 2);
        do {
            nowMs += 300;
            sendRequest(IDEMPOTENT);
        } while (!host.lastAttempt().endpoint().equals(first.endpoint()));
        finishAttempt(host.lastAttempt(), outcome, 2);
        return first.endpoint();
    }

    /** Returns the hash of an endpoint's id, computed independently of the code under test. */
    static long hash(String id) {
        int h = 0x811c9dc5;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x01000193;
        }
        h ^= h >>> 16;
        h *= 0x7feb352d;
        h ^= h >>> 15;
        return h & 0xffffffffL;
    }
}
