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

/** Checks that invalid input is rejected with the field's name and value, and changes nothing. */
class BadInputTest {

    private static void assertRejected(String field, Object value, Executable action) {
        String message = assertThrows(IllegalArgumentException.class, action).getMessage();
        assertTrue(message.contains(field) && message.contains(String.valueOf(value)), message);
    }

    @ParameterizedTest
    @ValueSource(doubles = {-1, Double.NaN, Double.POSITIVE_INFINITY})
    void messageNamesNumberOutOfRange(double invalidValue) {
        assertRejected(
                "classes[].aim",
                invalidValue,
                () -> new RequestClass(
                        "c", invalidValue, 1000, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected(
                "classes[].deadline",
                invalidValue,
                () -> new RequestClass(
                        "c", 100, invalidValue, 1, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected(
                "classes[].worth",
                invalidValue,
                () -> new RequestClass(
                        "c", 100, 1000, invalidValue, 0, Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        assertRejected(
                "limits.connectTimeout", invalidValue, () -> new AttemptLimits(3, true, true, 2000, invalidValue));
        assertRejected("limits.maxCoolDown", invalidValue, () -> new AttemptLimits(3, true, true, invalidValue, 200));
        assertRejected("rules.coldShare", invalidValue, () -> new SlowStartSettings(invalidValue, 8000, 3, 1000));
        assertRejected("rules.coldMs", invalidValue, () -> new SlowStartSettings(0.3, invalidValue, 3, 1000));
        assertRejected("rules.drainGrace", -1, () -> new DrainSettings(-1));
        assertRejected("rules.askWithin", invalidValue, () -> Fixture.settingsWithPollInterval(invalidValue));
        assertRejected("tenants[].allowance", invalidValue, () -> new TenantQuota("t", invalidValue, 1));
        assertRejected(
                "server.weight", invalidValue, () -> new Endpoint("s", 0, 0, 0, 0, EndpointState.READY, invalidValue));
        assertRejected(
                "finished.took",
                invalidValue,
                () -> new AttemptResult("r", 0, "s", AttemptOutcome.OK, invalidValue, true, LoadReport.NONE));
        assertRejected(
                "finished.connect",
                invalidValue,
                () -> new AttemptResult("r", 0, "s", AttemptOutcome.OK, 5, invalidValue, true, true, LoadReport.NONE));
    }

    @Test
    void messageNamesMissingValue() {
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
    void invalidRequestChangesNothing() {
        Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(3));
        String firstRequest = f.sendRequest(Fixture.IDEMPOTENT);
        f.nowMs += 60_000;
        List<String> actionsBefore = List.copyOf(f.host.actions);
        assertRejected("class", 9, () -> f.balancer.onRequest(f.nowMs, new Request("x", 9, 0, f.nowMs + 100, false)));
        assertRejected("tenant", 5, () -> f.balancer.onRequest(f.nowMs, new Request("x", 0, 5, f.nowMs + 100, false)));
        assertRejected(
                firstRequest,
                "in flight",
                () -> f.balancer.onRequest(f.nowMs, new Request(firstRequest, 0, 0, f.nowMs + 100, false)));
        assertEquals(actionsBefore, f.host.actions);
        assertEquals(1, f.balancer.requestsInFlight());
    }

    @Test
    void fleetsOfExtremeSizeAreServedOrRejected() {
        for (List<Endpoint> list :
                List.of(List.<Endpoint>of(), List.of(Fixture.endpoint("d", 0, 0, EndpointState.DRAINING)))) {
            Fixture f = Fixture.of(1, 0, 0).setEndpoints(list);
            String rejectedRequest = f.sendRequest(Fixture.NON_IDEMPOTENT);
            assertEquals(List.of(rejectedRequest), f.host.rejected);
            assertTrue(f.host.started.isEmpty());
        }
        Fixture manyBalancers = Fixture.of(5000, 4999, 0).setEndpoints(Fixture.endpoints(1));
        manyBalancers.sendRequest(Fixture.NON_IDEMPOTENT);
        assertEquals("s0", manyBalancers.host.lastAttempt().endpoint());
    }
}
