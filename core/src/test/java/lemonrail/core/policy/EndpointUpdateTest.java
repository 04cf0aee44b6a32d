package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.balancer.EndpointUpdateKind;
import org.junit.jupiter.api.Test;

/** Checks the effect of endpoint list updates on requests. */
class EndpointUpdateTest {

    @Test
    void drainingOrGoneEndpointGetsNoRequests() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(3));
        f.sendRequest(Fixture.IDEMPOTENT);
        f.updateEndpoints(
                Fixture.endpoint("s0", 0, 0, EndpointState.DRAINING), Fixture.endpoint("s1", 0, 0, EndpointState.GONE));
        int startedBefore = f.host.started.size();
        for (int i = 0; i < 50; i++) {
            f.nowMs += 20;
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        assertTrue(f.host.started.stream()
                .skip(startedBefore)
                .allMatch(s -> s.endpoint().equals("s2")));
    }

    @Test
    void endpointMissingFromASnapshotIsGone() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(2));
        f.setEndpoints(List.of(Fixture.endpoint("s1")));
        f.sendRequest(Fixture.IDEMPOTENT);
        assertEquals("s1", f.host.lastAttempt().endpoint());
    }

    @Test
    void failedPollKeepsThePreviousList() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(2));
        f.balancer.onEndpointUpdate(f.nowMs, EndpointUpdateKind.FAILED, List.of());
        f.sendRequest(Fixture.IDEMPOTENT);
        assertEquals(1, f.host.started.size());
        assertEquals(1, f.host.timerDelaysMs.size(), "the next poll is scheduled");
    }

    /**
     * Guards against a hung sidecar. An update for an endpoint that is gone may contain only its id, so that its zone
     * is missing or different. The pool must nevertheless remove the endpoint from its lists by zone.
     */
    @Test
    void goneEndpointIsRemovedWhateverZoneTheUpdateHas() {
        for (EndpointState state : List.of(EndpointState.GONE, EndpointState.DRAINING, EndpointState.READY)) {
            Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(2));
            f.updateEndpoints(new Endpoint("s0", -1, -1, 0, 0, state, 1));
            assertTimeoutPreemptively(Duration.ofSeconds(10), () -> {
                for (int i = 0; i < 20; i++) {
                    f.nowMs += 200;
                    f.sendRequest(Fixture.IDEMPOTENT);
                }
            });
            assertTrue(f.host.started.stream()
                    .anyMatch(attempt -> attempt.endpoint().equals("s1")));
            assertEquals(
                    state == EndpointState.READY,
                    f.host.started.stream()
                            .anyMatch(attempt -> attempt.endpoint().equals("s0")),
                    "" + state);
        }
    }

    /** Guards against memory that grows with each endpoint that is added and removed, also with requests in flight. */
    @Test
    void endpointsThatAreGoneAreRemoved() {
        Fixture f = Fixture.of(2, 0, 0);
        for (int i = 0; i < 5000; i++) {
            f.updateEndpoints(Fixture.endpoint("s" + i, 0, f.nowMs, EndpointState.READY));
            f.sendRequest(Fixture.IDEMPOTENT);
            f.updateEndpoints(Fixture.endpoint("s" + i, 0, f.nowMs, EndpointState.GONE));
            while (f.balancer.requestsInFlight() > 0) {
                f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.RESET, 1);
            }
            f.nowMs += 50;
        }
        assertEquals(0, f.balancer.knownEndpoints());
        assertEquals(0, f.balancer.requestsInFlight());
    }
}
