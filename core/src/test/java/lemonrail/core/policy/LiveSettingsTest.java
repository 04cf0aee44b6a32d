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

/** Checks that changed settings are adopted while requests are in flight, and that what was learned stays. */
class LiveSettingsTest {

    private static BalancerSettings with(
            BalancerSettings base, double latencyObjectiveMs, double deadlineMs, int tries, TenantQuota... tenants) {
        List<RequestClass> classes = base.classes().stream()
                .map(kind -> new RequestClass(
                        kind.name(),
                        latencyObjectiveMs,
                        deadlineMs,
                        kind.priorityWeight(),
                        kind.lateResponseWeight(),
                        kind.idempotency(),
                        kind.deduplicationScope(),
                        kind.deduplicationWindowMs(),
                        kind.stream()))
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
                        tries,
                        limits.parallelAttempts(),
                        limits.cancel(),
                        limits.maxRetryAfterMs(),
                        limits.connectTimeoutMs()),
                base.slowStart(),
                base.drain(),
                base.pollIntervalMs());
    }

    /** A response after the objective is worth nothing here, so a request waits no longer than for that. */
    @Test
    void changedObjectiveAppliesToTheNextRequest() {
        BalancerSettings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).list(Fixture.endpoints(1));
        f.request(Fixture.IDEMPOTENT);
        double before = f.host.last().timeoutMs();
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.balancer.onSettings(f.now, with(base, 400, 3000, 3));
        f.now += 100;
        f.request(Fixture.IDEMPOTENT);
        assertTrue(
                before > 900 && f.host.last().timeoutMs() < 400,
                before + " and " + f.host.last().timeoutMs());
    }

    @Test
    void changedAttemptLimitAppliesToRequestsInFlight() {
        BalancerSettings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).list(Fixture.endpoints(3));
        f.request(Fixture.IDEMPOTENT);
        f.balancer.onSettings(f.now, with(base, 1000, 3000, 1));
        f.finish(f.host.last(), AttemptOutcome.FAILED, 2);
        assertEquals(1, f.host.started.size(), "not sent again");
    }

    /** Guards against a change of a rate that gives a flood its burst capacity again. */
    @Test
    void changedQuotaKeepsItsTokens() {
        BalancerSettings base =
                Fixture.settings(1, 0, 0, true, new TenantQuota("flood", 10, 0.1), new TenantQuota("calm", 1000, 0.9));
        Fixture f = new Fixture(base).list(Fixture.endpoints(20));
        BalancerSettings same = with(base, 1000, 3000, 3, base.tenants().toArray(TenantQuota[]::new));
        int taken = 0;
        for (int i = 0; i < 60; i++) {
            f.balancer.onSettings(f.now, same);
            int before = f.host.started.size();
            f.request(Fixture.IDEMPOTENT, 0);
            taken += f.host.started.size() - before;
        }
        Fixture plain = new Fixture(base).list(Fixture.endpoints(20));
        for (int i = 0; i < 60; i++) {
            plain.request(Fixture.IDEMPOTENT, 0);
        }
        assertEquals(plain.host.started.size(), taken);
    }

    @Test
    void estimatesStayWhenSettingsChange() {
        BalancerSettings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).list(Fixture.endpoints(2));
        Fixture other = new Fixture(base).list(Fixture.endpoints(2));
        for (int i = 0; i < 200; i++) {
            for (Fixture each : List.of(f, other)) {
                each.now += 20;
                each.request(Fixture.IDEMPOTENT);
                each.finish(each.host.last(), AttemptOutcome.OK, 15);
            }
            f.balancer.onSettings(f.now, base);
        }
        assertEquals(other.host.all, f.host.all);
    }
}
