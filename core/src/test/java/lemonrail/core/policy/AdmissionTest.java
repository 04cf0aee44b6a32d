package lemonrail.core.policy;

import static lemonrail.core.policy.LoadPatterns.countForwardedInOneSecond;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.TenantQuota;
import org.junit.jupiter.api.Test;

/** Checks which requests are admitted and which are rejected. */
class AdmissionTest {

    @Test
    void fullPoolRejectsRequestsWithoutQueueing() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(32));
        for (int i = 0; i < 1068; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        assertEquals(1024, f.host.started.size());
        assertEquals(44, f.host.rejected.size());
        f.finishAttempt(f.host.started.get(0), AttemptOutcome.OK, 10);
        assertEquals(1024, f.host.started.size(), "a rejected request is not started later");
    }

    @Test
    void requestIsRejectedWithoutEndpoints() {
        Fixture f = Fixture.of(1, 0, 0).setEndpoints(List.of());
        f.sendRequest(Fixture.NON_IDEMPOTENT);
        assertEquals(List.of("r0"), f.host.rejected);
    }

    /**
     * Guards against overload that cannot be shed because the endpoints can serve fewer requests at once than there are
     * balancers (i190c84).
     */
    @Test
    void limitBelowOneRequestPacesRequests() {
        Fixture f = Fixture.of(100, 0, 0).setEndpoints(Fixture.endpoints(10));
        int forwardedBefore = countForwardedInOneSecond(f, 100);
        countForwardedInOneSecond(f, 900);
        for (int i = 0; i < 30; i++) {
            countForwardedInOneSecond(f, 900);
        }
        int forwardedAfter = countForwardedInOneSecond(f, 100);
        assertTrue(forwardedBefore >= 8, forwardedBefore + " of 10 requests forwarded while responses are fast");
        assertTrue(
                forwardedAfter <= 2,
                forwardedAfter + " of 10 requests forwarded after half a minute of slow responses");
    }

    /** Guards against wasting work that earlier tiers have already done. */
    @Test
    void lowerTiersDoNotShedLoad() {
        Fixture f = Fixture.of(10, 0, 1).setEndpoints(Fixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        assertEquals(100, f.host.started.size());
    }

    /** Guards against a burst of one tenant: requests over its quota are rejected first. */
    @Test
    void requestsOverQuotaAreRejectedFirst() {
        Fixture f = new Fixture(Fixture.settings(
                10, 0, 0, true, new TenantQuota("flood", 10, 0.1), new TenantQuota("calm", 1000, 0.9)));
        f.setEndpoints(Fixture.endpoints(20));
        for (int i = 0; i < 50; i++) {
            f.sendRequest(Fixture.IDEMPOTENT, 0);
        }
        int startedOverQuota = f.host.started.size();
        for (int i = 0; i < 50; i++) {
            f.sendRequest(Fixture.IDEMPOTENT, 1);
        }
        assertTrue(startedOverQuota < f.host.started.size(), "the tenant within its quota gets the remaining capacity");
        assertEquals(8, f.host.started.size());
    }

    /**
     * Guards against requests over quota that use the only slot of a small limit whenever it becomes free (h430bb6).
     */
    @Test
    void requestsOverQuotaDoNotUseUpASmallLimit() {
        Fixture f = new Fixture(
                Fixture.settings(10, 0, 0, true, new TenantQuota("flood", 0, 0.1), new TenantQuota("calm", 1000, 0.9)));
        f.setEndpoints(Fixture.endpoints(4));
        f.sendRequest(Fixture.IDEMPOTENT, 0);
        f.nowMs += 10;
        for (int i = 0; i < 20; i++) {
            f.sendRequest(Fixture.IDEMPOTENT, 0);
        }
        assertTrue(f.host.started.size() <= 1, "started requests over quota: " + f.host.started.size());
        f.sendRequest(Fixture.IDEMPOTENT, 1);
        assertEquals("r21", f.host.lastAttempt().request());
        f.sendRequest(Fixture.IDEMPOTENT, 1);
        assertEquals(
                List.of("r22"),
                f.host.rejected.subList(f.host.rejected.size() - 1, f.host.rejected.size()),
                "the limit is reached");
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, 10);
        f.nowMs += 500;
        int startedBefore = f.host.started.size();
        f.sendRequest(Fixture.IDEMPOTENT, 0);
        assertEquals(
                startedBefore,
                f.host.started.size(),
                "no request over quota is admitted shortly after one within quota was rejected");
    }
}
