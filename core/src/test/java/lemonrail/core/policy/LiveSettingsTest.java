package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.Contract.Limits;
import lemonrail.core.Contract.Outcome;
import lemonrail.core.Contract.RequestClass;
import lemonrail.core.Contract.Settings;
import lemonrail.core.Contract.Tenant;
import org.junit.jupiter.api.Test;

/** Settings that change while calls are in hand: what may, is taken up, and what was learned stays. */
class LiveSettingsTest {

    private static Settings with(Settings base, double aimMs, double deadlineMs, int tries, Tenant... tenants) {
        List<RequestClass> classes = base.classes().stream()
                .map(kind -> new RequestClass(
                        kind.name(),
                        aimMs,
                        deadlineMs,
                        kind.worth(),
                        kind.lateWorth(),
                        kind.effect(),
                        kind.group(),
                        kind.windowMs(),
                        kind.stream()))
                .toList();
        Limits limits = base.limits();
        return new Settings(
                base.balancers(),
                base.ownNumber(),
                base.ownZone(),
                base.tier(),
                base.asksForList(),
                base.weighted(),
                base.overShareWorth(),
                base.crossZonePrice(),
                classes,
                List.of(tenants),
                new Limits(
                        tries,
                        limits.parallelTries(),
                        limits.cancel(),
                        limits.maxCoolDownMs(),
                        limits.connectTimeoutMs()),
                base.rules());
    }

    /** An answer after the aim is worth nothing here, so a call waits no longer than for that. */
    @Test
    void anAimHoldsForTheNextCall() {
        Settings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).list(Fixture.servers(1));
        f.request(Fixture.REPEATABLE);
        double before = f.host.last().timeoutMs();
        f.finish(f.host.last(), Outcome.OK, 10);
        f.balancer.onSettings(f.now, with(base, 400, 3000, 3));
        f.now += 100;
        f.request(Fixture.REPEATABLE);
        assertTrue(
                before > 900 && f.host.last().timeoutMs() < 400,
                before + " and " + f.host.last().timeoutMs());
    }

    @Test
    void fewerAttemptsHoldForCallsInHand() {
        Settings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).list(Fixture.servers(3));
        f.request(Fixture.REPEATABLE);
        f.balancer.onSettings(f.now, with(base, 1000, 3000, 1));
        f.finish(f.host.last(), Outcome.FAILED, 2);
        assertEquals(1, f.host.sent.size(), "not sent again");
    }

    /** Guards against a change of a rate that gives a flood its savings again. */
    @Test
    void anAllowanceChangesAndItsSavingsStay() {
        Settings base = Fixture.settings(1, 0, 0, true, new Tenant("flood", 10, 0.1), new Tenant("calm", 1000, 0.9));
        Fixture f = new Fixture(base).list(Fixture.servers(20));
        Settings same = with(base, 1000, 3000, 3, base.tenants().toArray(Tenant[]::new));
        int taken = 0;
        for (int i = 0; i < 60; i++) {
            f.balancer.onSettings(f.now, same);
            int before = f.host.sent.size();
            f.request(Fixture.REPEATABLE, 0);
            taken += f.host.sent.size() - before;
        }
        Fixture plain = new Fixture(base).list(Fixture.servers(20));
        for (int i = 0; i < 60; i++) {
            plain.request(Fixture.REPEATABLE, 0);
        }
        assertEquals(plain.host.sent.size(), taken);
    }

    @Test
    void whatWasLearnedStays() {
        Settings base = Fixture.settings(1, 0, 0, true);
        Fixture f = new Fixture(base).list(Fixture.servers(2));
        Fixture other = new Fixture(base).list(Fixture.servers(2));
        for (int i = 0; i < 200; i++) {
            for (Fixture each : List.of(f, other)) {
                each.now += 20;
                each.request(Fixture.REPEATABLE);
                each.finish(each.host.last(), Outcome.OK, 15);
            }
            f.balancer.onSettings(f.now, base);
        }
        assertEquals(other.host.all, f.host.all);
    }
}
