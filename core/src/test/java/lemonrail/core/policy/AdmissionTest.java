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
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.servers(32));
        for (int i = 0; i < 1068; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        assertEquals(1024, f.host.sent.size());
        assertEquals(44, f.host.refused.size());
        f.finish(f.host.sent.get(0), AttemptOutcome.OK, 10);
        assertEquals(1024, f.host.sent.size(), "a refused call must not be sent later");
    }

    @Test
    void requestIsRejectedWithoutEndpoints() {
        Fixture f = Fixture.of(1, 0, 0).list(List.of());
        f.request(Fixture.NON_IDEMPOTENT);
        assertEquals(List.of("r0"), f.host.refused);
    }

    /** Guards against overload that cannot be shed where balancers outnumber what servers hold (i190c84). */
    @Test
    void limitBelowOneRequestPacesRequests() {
        Fixture f = Fixture.of(100, 0, 0).list(Fixture.servers(10));
        int quick = forwardedInASecond(f, 100);
        forwardedInASecond(f, 900);
        for (int i = 0; i < 30; i++) {
            forwardedInASecond(f, 900);
        }
        int slow = forwardedInASecond(f, 100);
        assertTrue(quick >= 8, quick + " while all is well");
        assertTrue(slow <= 2, slow + " after half a minute of slow answers");
    }

    /** Guards against refusing work that other servers have already sunk time into. */
    @Test
    void lowerTiersDoNotShedLoad() {
        Fixture f = Fixture.of(10, 0, 1).list(Fixture.servers(20));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        assertEquals(100, f.host.sent.size());
    }

    /** Guards against a tenant's flood: what is beyond its allowance gives way first. */
    @Test
    void requestsOverQuotaAreRejectedFirst() {
        Fixture f = new Fixture(Fixture.settings(
                10, 0, 0, true, new TenantQuota("flood", 10, 0.1), new TenantQuota("calm", 1000, 0.9)));
        f.list(Fixture.servers(20));
        for (int i = 0; i < 50; i++) {
            f.request(Fixture.IDEMPOTENT, 0);
        }
        int flooded = f.host.sent.size();
        for (int i = 0; i < 50; i++) {
            f.request(Fixture.IDEMPOTENT, 1);
        }
        assertTrue(flooded < f.host.sent.size(), "room is left for the tenant within its share");
        assertEquals(8, f.host.sent.size());
    }

    /** Guards against a flood that takes a small limit's only slot whenever it falls free (h430bb6). */
    @Test
    void requestsOverQuotaDoNotUseUpASmallLimit() {
        Fixture f = new Fixture(
                Fixture.settings(10, 0, 0, true, new TenantQuota("flood", 0, 0.1), new TenantQuota("calm", 1000, 0.9)));
        f.list(Fixture.servers(4));
        f.request(Fixture.IDEMPOTENT, 0);
        f.now += 10;
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.IDEMPOTENT, 0);
        }
        assertTrue(f.host.sent.size() <= 1, "the flood got " + f.host.sent.size());
        f.request(Fixture.IDEMPOTENT, 1);
        assertEquals("r21", f.host.last().request());
        f.request(Fixture.IDEMPOTENT, 1);
        assertEquals(
                List.of("r22"),
                f.host.refused.subList(f.host.refused.size() - 1, f.host.refused.size()),
                "the limit is full");
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.now += 500;
        int before = f.host.sent.size();
        f.request(Fixture.IDEMPOTENT, 0);
        assertEquals(before, f.host.sent.size(), "a call within its share was turned away just now");
    }
}
