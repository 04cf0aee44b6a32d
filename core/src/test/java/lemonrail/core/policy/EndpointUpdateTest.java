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

/** Checks what updates of the endpoint list do to requests. */
class EndpointUpdateTest {

    @Test
    void drainingOrGoneEndpointGetsNoRequests() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(3));
        f.request(Fixture.IDEMPOTENT);
        f.change(
                Fixture.endpoint("s0", 0, 0, EndpointState.DRAINING), Fixture.endpoint("s1", 0, 0, EndpointState.GONE));
        int before = f.host.started.size();
        for (int i = 0; i < 50; i++) {
            f.now += 20;
            f.request(Fixture.IDEMPOTENT);
        }
        assertTrue(
                f.host.started.stream().skip(before).allMatch(s -> s.endpoint().equals("s2")));
    }

    @Test
    void endpointMissingFromASnapshotIsGone() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(2));
        f.list(List.of(Fixture.endpoint("s1")));
        f.request(Fixture.IDEMPOTENT);
        assertEquals("s1", f.host.last().endpoint());
    }

    @Test
    void failedPollLeavesTheOldListInUse() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(2));
        f.balancer.onEndpointUpdate(f.now, EndpointUpdateKind.FAILED, List.of());
        f.request(Fixture.IDEMPOTENT);
        assertEquals(1, f.host.started.size());
        assertEquals(1, f.host.timers.size(), "it asks again later");
    }

    /**
     * Guards against a sidecar that hangs: an update that an endpoint is gone may name nothing but its id, and then
     * its zone is none or another; what the pool keeps by zones must lose the endpoint all the same.
     */
    @Test
    void goneEndpointLeavesWhateverZoneTheUpdateNames() {
        for (EndpointState state : List.of(EndpointState.GONE, EndpointState.DRAINING, EndpointState.READY)) {
            Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(2));
            f.change(new Endpoint("s0", -1, -1, 0, 0, state, 1));
            assertTimeoutPreemptively(Duration.ofSeconds(10), () -> {
                for (int i = 0; i < 20; i++) {
                    f.now += 200;
                    f.request(Fixture.IDEMPOTENT);
                }
            });
            assertTrue(f.host.started.stream().anyMatch(sent -> sent.endpoint().equals("s1")));
            assertEquals(
                    state == EndpointState.READY,
                    f.host.started.stream().anyMatch(sent -> sent.endpoint().equals("s0")),
                    "" + state);
        }
    }

    /** Guards against memory that grows with each endpoint that comes and goes, also with requests still in flight. */
    @Test
    void nothingIsKeptOfEndpointsThatAreGone() {
        Fixture f = Fixture.of(2, 0, 0);
        for (int i = 0; i < 5000; i++) {
            f.change(Fixture.endpoint("s" + i, 0, f.now, EndpointState.READY));
            f.request(Fixture.IDEMPOTENT);
            f.change(Fixture.endpoint("s" + i, 0, f.now, EndpointState.GONE));
            while (f.balancer.requestsInFlight() > 0) {
                f.finish(f.host.last(), AttemptOutcome.RESET, 1);
            }
            f.now += 50;
        }
        assertEquals(0, f.balancer.knownEndpoints());
        assertEquals(0, f.balancer.requestsInFlight());
    }
}
