package lemonrail.core.policy;

import static lemonrail.core.policy.LoadPatterns.forwardedInASecond;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.TenantQuota;
import org.junit.jupiter.api.Test;

/** Checks which requests are admitted and which are rejected. */
class AdmissionTest {

    @Test
    void fullPoolRejectsRequestsAndKeepsNoQueue() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(32));
        for (int i = 0; i < 1068; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        assertEquals(1024, f.host.started.size());
        assertEquals(44, f.host.rejected.size());
        f.finish(f.host.started.get(0), AttemptOutcome.OK, 10);
        assertEquals(1024, f.host.started.size(), "a rejected request must not be sent later");
    }

    @Test
    void requestIsRejectedWithoutEndpoints() {
        Fixture f = Fixture.of(1, 0, 0).list(List.of());
        f.request(Fixture.NON_IDEMPOTENT);
        assertEquals(List.of("r0"), f.host.rejected);
    }

    /** Guards against overload that cannot be shed where balancers outnumber what endpoints can serve (i190c84). */
    @Test
    void limitBelowOneRequestPacesRequests() {
        Fixture f = Fixture.of(100, 0, 0).list(Fixture.endpoints(10));
        int quick = forwardedInASecond(f, 100);
        forwardedInASecond(f, 900);
        for (int i = 0; i < 30; i++) {
            forwardedInASecond(f, 900);
        }
        int slow = forwardedInASecond(f, 100);
        assertTrue(quick >= 8, quick + " while all is well");
        assertTrue(slow <= 2, slow + " after half a minute of slow responses");
    }

    /** Guards against wasting the work that higher tiers have already done. */
    @Test
    void lowerTiersDoNotShedLoad() {
        Fixture f = Fixture.of(10, 0, 1).list(Fixture.endpoints(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        assertEquals(100, f.host.started.size());
    }

    /** Guards against a tenant's burst: requests over its quota are rejected first. */
    @Test
    void requestsOverQuotaAreRejectedFirst() {
        Fixture f = new Fixture(Fixture.settings(
                10, 0, 0, true, new TenantQuota("flood", 10, 0.1), new TenantQuota("calm", 1000, 0.9)));
        f.list(Fixture.endpoints(20));
        for (int i = 0; i < 50; i++) {
            f.request(Fixture.IDEMPOTENT, 0);
        }
        int flooded = f.host.started.size();
        for (int i = 0; i < 50; i++) {
            f.request(Fixture.IDEMPOTENT, 1);
        }
        assertTrue(flooded < f.host.started.size(), "capacity is left for the tenant within its quota");
        assertEquals(8, f.host.started.size());
    }

    /** Guards against requests over quota that take a small limit's only slot whenever it falls free (h430bb6). */
    @Test
    void requestsOverQuotaDoNotUseUpASmallLimit() {
        Fixture f = new Fixture(
                Fixture.settings(10, 0, 0, true, new TenantQuota("flood", 0, 0.1), new TenantQuota("calm", 1000, 0.9)));
        f.list(Fixture.endpoints(4));
        f.request(Fixture.IDEMPOTENT, 0);
        f.now += 10;
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.IDEMPOTENT, 0);
        }
        assertTrue(f.host.started.size() <= 1, "the flood got " + f.host.started.size());
        f.request(Fixture.IDEMPOTENT, 1);
        assertEquals("r21", f.host.last().request());
        f.request(Fixture.IDEMPOTENT, 1);
        assertEquals(
                List.of("r22"),
                f.host.rejected.subList(f.host.rejected.size() - 1, f.host.rejected.size()),
                "the limit is full");
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.now += 500;
        int before = f.host.started.size();
        f.request(Fixture.IDEMPOTENT, 0);
        assertEquals(before, f.host.started.size(), "a request within its quota was rejected just now");
    }
}
