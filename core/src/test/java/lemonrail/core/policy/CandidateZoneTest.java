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

/** Checks endpoints that are listed in another zone than before; for one that is gone an update may name none. */
class CandidateZoneTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static Endpoint in(String id, int zone, EndpointState state) {
        return new Endpoint(id, zone, 0, 0, 0, state, 1);
    }

    /** Requests come and go for long enough that the pool is refilled many times. */
    private static Set<String> serve(Fixture f) {
        int before = f.host.started.size();
        assertTimeoutPreemptively(
                TIMEOUT,
                () -> {
                    for (int i = 0; i < 50; i++) {
                        f.now += 150;
                        f.request(Fixture.IDEMPOTENT);
                        f.finish(f.host.last(), AttemptOutcome.OK, 10);
                    }
                },
                "a loop without an end");
        return f.host.started.subList(before, f.host.started.size()).stream()
                .map(RecordingHost.StartedAttempt::endpoint)
                .collect(Collectors.toSet());
    }

    /** Guards against a candidate slot that is looked up in another zone than it was added in. */
    @Test
    void goneEndpointLeavesNoCandidateWhateverItsZone() {
        Fixture f =
                Fixture.of(1, 0, 0).list(List.of(in("s0", 0, EndpointState.READY), in("s1", 0, EndpointState.READY)));
        serve(f);
        f.change(in("s0", -1, EndpointState.GONE));
        assertEquals(Set.of("s1"), serve(f));
    }

    @Test
    void endpointMayMoveToAnotherZone() {
        Fixture f =
                Fixture.of(1, 0, 0).list(List.of(in("s0", 0, EndpointState.READY), in("s1", 0, EndpointState.READY)));
        serve(f);
        f.change(in("s0", 1, EndpointState.READY));
        serve(f);
        f.change(in("s0", 0, EndpointState.READY));
        f.change(in("s1", 1, EndpointState.DRAINING));
        assertEquals(Set.of("s0"), serve(f));
    }
}
