package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.Endpoint;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/**
 * Checks endpoints that are listed in a different zone than before. An update for an endpoint that is gone may have no
 * zone.
 */
class CandidateZoneTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static Endpoint endpointInZone(String id, int zone, EndpointState state) {
        return new Endpoint(id, zone, 0, 0, 0, state, 1);
    }

    /** Sends and finishes requests for so long that the pool is refilled many times, and returns the used endpoints. */
    private static Set<String> serveRequests(Fixture f) {
        int startedBefore = f.host.started.size();
        assertTimeoutPreemptively(
                TIMEOUT,
                () -> {
                    for (int i = 0; i < 50; i++) {
                        f.nowMs += 150;
                        f.sendRequest(Fixture.IDEMPOTENT);
                        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, 10);
                    }
                },
                "serving requests must end");
        return f.host.started.subList(startedBefore, f.host.started.size()).stream()
                .map(RecordingHost.StartedAttempt::endpoint)
                .collect(Collectors.toSet());
    }

    /** Guards against a candidate slot that is looked up in another zone than the one it was added to. */
    @Test
    void goneEndpointLeavesNoCandidateInAnyZone() {
        Fixture f = Fixture.of(1, 0, 0)
                .setEndpoints(List.of(
                        endpointInZone("s0", 0, EndpointState.READY), endpointInZone("s1", 0, EndpointState.READY)));
        serveRequests(f);
        f.updateEndpoints(endpointInZone("s0", -1, EndpointState.GONE));
        assertEquals(Set.of("s1"), serveRequests(f));
    }

    @Test
    void endpointMovesToAnotherZone() {
        Fixture f = Fixture.of(1, 0, 0)
                .setEndpoints(List.of(
                        endpointInZone("s0", 0, EndpointState.READY), endpointInZone("s1", 0, EndpointState.READY)));
        serveRequests(f);
        f.updateEndpoints(endpointInZone("s0", 1, EndpointState.READY));
        serveRequests(f);
        f.updateEndpoints(endpointInZone("s0", 0, EndpointState.READY));
        f.updateEndpoints(endpointInZone("s1", 1, EndpointState.DRAINING));
        assertEquals(Set.of("s0"), serveRequests(f));
    }
}
