package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.TenantQuota;
import org.junit.jupiter.api.Test;

/** Checks that changed settings take effect while requests are in flight, and that estimates are kept. */
class LiveSettingsTest {

    private static BalancerSettings withChanges(
            BalancerSettings base,
            double latencyObjectiveMs,
            double deadlineMs,
            int maxAttempts,
            TenantQuota... tenants) {
        List<RequestClass> classes = base.classes().stream()
                .map(requestClass -> new RequestClass(
                        requestClass.name(),
                        latencyObjectiveMs,
                        deadlineMs,
                        requestClass.priorityWeight(),
                        requestClass.lateResponseWeight(),
                        requestClass.idempotency(),
                        requestClass.deduplicationScope(),
                        requestClass.deduplicationWindowMs(),
                        requestClass.stream()))
                .toList();
        AttemptLimits limits = base.limits();
        return new BalancerSettings(
                base.balancers(),
                base.balancerIndex(),
                base.zone(),
                base.tier(),
                base.pollsEndpoints(),
                base.weighted(),
                base.overQuotaWeight(),
                base.crossZoneCost(),
                classes,
                List.of(tenants),
                new AttemptLimits(
                        maxAttempts,
                        limits.parallelAttempts(),
                        limits.cancel(),
                        limits.maxRetryAfterMs(),
                        limits.connectTimeoutMs()),
                base.slowStart(),
                base.drain(),
                base.pollIntervalMs());
    }

    /** A response after the objective has no value for this class, so attempts time out before the objective. */
    @Test
    void changedObjectiveAppliesToTheNextRequest() {
        BalancerSettings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).setEndpoints(Fixture.endpoints(1));
        f.sendRequest(Fixture.IDEMPOTENT);
        double timeoutBeforeMs = f.host.lastAttempt().timeoutMs();
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, 10);
        f.balancer.onSettings(f.nowMs, withChanges(base, 400, 3000, 3));
        f.nowMs += 100;
        f.sendRequest(Fixture.IDEMPOTENT);
        assertTrue(
                timeoutBeforeMs > 900 && f.host.lastAttempt().timeoutMs() < 400,
                timeoutBeforeMs + " ms before the change and "
                        + f.host.lastAttempt().timeoutMs());
    }

    @Test
    void changedAttemptLimitAppliesToRequestsInFlight() {
        BalancerSettings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).setEndpoints(Fixture.endpoints(3));
        f.sendRequest(Fixture.IDEMPOTENT);
        f.balancer.onSettings(f.nowMs, withChanges(base, 1000, 3000, 1));
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.FAILED, 2);
        assertEquals(1, f.host.started.size(), "no retry");
    }

    /** Guards against a change of settings that refills the burst capacity of a tenant over its quota. */
    @Test
    void changeOfSettingsKeepsQuotaTokens() {
        BalancerSettings base =
                Fixture.settings(1, 0, 0, true, new TenantQuota("flood", 10, 0.1), new TenantQuota("calm", 1000, 0.9));
        Fixture f = new Fixture(base).setEndpoints(Fixture.endpoints(20));
        BalancerSettings same = withChanges(base, 1000, 3000, 3, base.tenants().toArray(TenantQuota[]::new));
        int forwarded = 0;
        for (int i = 0; i < 60; i++) {
            f.balancer.onSettings(f.nowMs, same);
            int startedBefore = f.host.started.size();
            f.sendRequest(Fixture.IDEMPOTENT, 0);
            forwarded += f.host.started.size() - startedBefore;
        }
        Fixture withoutChange = new Fixture(base).setEndpoints(Fixture.endpoints(20));
        for (int i = 0; i < 60; i++) {
            withoutChange.sendRequest(Fixture.IDEMPOTENT, 0);
        }
        assertEquals(withoutChange.host.started.size(), forwarded);
    }

    @Test
    void changeOfSettingsKeepsEstimates() {
        BalancerSettings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).setEndpoints(Fixture.endpoints(2));
        Fixture unchanged = new Fixture(base).setEndpoints(Fixture.endpoints(2));
        for (int i = 0; i < 200; i++) {
            for (Fixture fixture : List.of(f, unchanged)) {
                fixture.nowMs += 20;
                fixture.sendRequest(Fixture.IDEMPOTENT);
                fixture.finishAttempt(fixture.host.lastAttempt(), AttemptOutcome.OK, 15);
            }
            f.balancer.onSettings(f.nowMs, base);
        }
        assertEquals(unchanged.host.actions, f.host.actions);
    }
}
