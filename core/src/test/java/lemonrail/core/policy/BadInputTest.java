package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemonrail.core.balancer.AttemptLimits;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.DeduplicationScope;
import lemonrail.core.balancer.DrainSettings;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.Idempotency;
import lemonrail.core.balancer.LoadReport;
import lemonrail.core.balancer.Request;
import lemonrail.core.balancer.RequestClass;
import lemonrail.core.balancer.SlowStartSettings;
import lemonrail.core.balancer.TenantQuota;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.Executable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that bad input is rejected with the name and value of the field, and changes nothing. */
class BadInputTest {

    private static void assertRejected(String field, Object value, Executable action) {
        String message = assertThrows(IllegalArgumentException.class, action).getMessage();
        assertTrue(message.contains(field) && message.contains(String.valueOf(value)), message);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void numbersOutOfRangeAreNamed(double bad) {
        assertRejected(
                "classes[].aim",
                bad,
                () -> new RequestClass(
                        "c", bad, 1000, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected(
                "classes[].deadline",
                bad,
                () -> new RequestClass(
                        "c", 100, bad, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected(
                "classes[].worth",
                bad,
                () -> new RequestClass(
                        "c", 100, 1000, bad, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected("limits.connectTimeout", bad, () -> new AttemptLimits(3, true, true, 2000, bad));
        assertRejected("limits.maxCoolDown", bad, () -> new AttemptLimits(3, true, true, bad, 200));
        assertRejected("rules.coldShare", bad, () -> new SlowStartSettings(bad, 8000, 3, 1000));
        assertRejected("rules.coldMs", bad, () -> new SlowStartSettings(0.3, bad, 3, 1000));
        assertRejected("rules.drainGrace", -1, () -> new DrainSettings(-1));
        assertRejected("rules.askWithin", bad, () -> Fixture.settingsPolledWithin(bad));
        assertRejected("tenants[].allowance", bad, () -> new TenantQuota("t", bad, 1));
        assertRejected("server.weight", bad, () -> new Endpoint("s", 0, 0, 0, 0, EndpointState.READY, bad));
        assertRejected(
                "finished.took",
                bad,
                () -> new AttemptResult("r", 0, "s", AttemptOutcome.OK, bad, true, LoadReport.NONE));
        assertRejected(
                "finished.connect",
                bad,
                () -> new AttemptResult("r", 0, "s", AttemptOutcome.OK, 5, bad, true, true, LoadReport.NONE));
    }

    @Test
    void missingValuesAreNamed() {
        assertRejected("request.id", null, () -> new Request(null, 0, 0, 1000, false));
        assertRejected("request.deadline", Double.NaN, () -> new Request("r", 0, 0, Double.NaN, false));
        assertRejected("finished.outcome", null, () -> new AttemptResult("r", 0, "s", null, 5, true, LoadReport.NONE));
        assertRejected(
                "finished.attempt",
                -1,
                () -> new AttemptResult("r", -1, "s", AttemptOutcome.OK, 5, true, LoadReport.NONE));
        assertRejected("server.id", null, () -> new Endpoint(null, 0, 0, 0, 0, EndpointState.READY, 1));
        assertRejected("server.state", null, () -> new Endpoint("s", 0, 0, 0, 0, null, 1));
    }

    @Test
    void badRequestChangesNothing() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(3));
        String first = f.request(Fixture.IDEMPOTENT);
        f.now += 60_000;
        List<String> before = List.copyOf(f.host.all);
        assertRejected("class", 9, () -> f.balancer.onRequest(f.now, new Request("x", 9, 0, f.now + 100, false)));
        assertRejected("tenant", 5, () -> f.balancer.onRequest(f.now, new Request("x", 0, 5, f.now + 100, false)));
        assertRejected(
                first, "in flight", () -> f.balancer.onRequest(f.now, new Request(first, 0, 0, f.now + 100, false)));
        assertEquals(before, f.host.all);
        assertEquals(1, f.balancer.requestsInFlight());
    }

    @Test
    void extremeFleetsAreServedOrRejected() {
        for (List<Endpoint> list :
                List.of(List.<Endpoint>of(), List.of(Fixture.endpoint("d", 0, 0, EndpointState.DRAINING)))) {
            Fixture f = Fixture.of(1, 0, 0).list(list);
            String rejected = f.request(Fixture.NON_IDEMPOTENT);
            assertEquals(List.of(rejected), f.host.rejected);
            assertTrue(f.host.started.isEmpty());
        }
        Fixture many = Fixture.of(5000, 4999, 0).list(Fixture.endpoints(1));
        many.request(Fixture.NON_IDEMPOTENT);
        assertEquals("s0", many.host.last().endpoint());
    }
}
