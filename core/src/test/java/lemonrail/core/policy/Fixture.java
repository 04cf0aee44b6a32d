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

/** A balancer with a recording host and a clock set by hand. */
final class Fixture {

    static final int IDEMPOTENT = 0;
    static final int NON_IDEMPOTENT = 1;
    static final int BY_CELL = 2;

    final RecordingHost host = new RecordingHost();
    final BoxcarLoadBalancer balancer;
    double now = 1_000_000;
    private int requests;

    Fixture(BalancerSettings settings) {
        balancer = new BoxcarLoadBalancer(settings, 7, host);
    }

    static BalancerSettings settings(int balancers, int own, int tier, boolean parallel, TenantQuota... tenants) {
        return settings(balancers, own, tier, parallel, 10_000, tenants);
    }

    /** Returns settings whose endpoint list is polled within this time. */
    static BalancerSettings settingsPolledWithin(double pollIntervalMs) {
        return settings(1, 0, 0, true, pollIntervalMs);
    }

    private static BalancerSettings settings(
            int balancers, int own, int tier, boolean parallel, double pollIntervalMs, TenantQuota... tenants) {
        List<RequestClass> classes = List.of(
                new RequestClass("read", 1000, 3000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass(
                        "order", 1000, 3000, 1, 0.5, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass("save", 1000, 3000, 1, 0.5, Idempotency.KEYED, DeduplicationScope.CELL, 800, false));
        return new BalancerSettings(
                balancers,
                own,
                0,
                tier,
                false,
                true,
                0.1,
                0,
                classes,
                List.of(tenants),
                new AttemptLimits(3, parallel, true, 2000, 200),
                new SlowStartSettings(0.3, 8000, 3, 1000),
                new DrainSettings(1000),
                pollIntervalMs);
    }

    static Fixture of(int balancers, int own, int tier) {
        return new Fixture(settings(balancers, own, tier, true));
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

    Fixture list(List<Endpoint> endpoints) {
        balancer.onEndpointUpdate(now, EndpointUpdateKind.SNAPSHOT, endpoints);
        return this;
    }

    void change(Endpoint... endpoints) {
        balancer.onEndpointUpdate(now, EndpointUpdateKind.DELTA, List.of(endpoints));
    }

    String request(int kind) {
        return request(kind, 0);
    }

    String request(int kind, int tenant) {
        String id = "r" + requests++;
        balancer.onRequest(now, new Request(id, kind, tenant, now + 3000, false));
        return id;
    }

    void finish(RecordingHost.StartedAttempt sent, AttemptOutcome outcome, double tookMs) {
        balancer.onAttemptFinished(
                now,
                new AttemptResult(
                        sent.request(),
                        sent.attempt(),
                        sent.endpoint(),
                        outcome,
                        tookMs,
                        outcome == AttemptOutcome.OK,
                        LoadReport.NONE));
    }

    /** Has an endpoint fail two requests in a row, which is more than chance, and returns it. */
    String failTwice(AttemptOutcome outcome) {
        request(IDEMPOTENT);
        RecordingHost.StartedAttempt first = host.last();
        finish(first, outcome, 2);
        do {
            now += 300;
            request(IDEMPOTENT);
        } while (!host.last().endpoint().equals(first.endpoint()));
        finish(host.last(), outcome, 2);
        return first.endpoint();
    }

    /** The ranks that the design gives to an endpoint's first slot, worked out apart from the module. */
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
