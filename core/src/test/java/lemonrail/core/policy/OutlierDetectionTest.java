package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.EndpointState;
import org.junit.jupiter.api.Test;

/** Checks the ejection, probing and recovery of endpoints. */
class OutlierDetectionTest {

    /**
     * The number of ejected endpoints is reported to operators. An endpoint that comes back from draining is healthy.
     */
    @Test
    void ejectedEndpointsAreCountedUntilTheyDrain() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(4));
        assertEquals(0, f.balancer.ejectedEndpoints(f.nowMs));
        String ejectedEndpoint = f.ejectByTwoFailures(AttemptOutcome.FAILED);
        assertEquals(1, f.balancer.ejectedEndpoints(f.nowMs));
        f.updateEndpoints(Fixture.endpoint(ejectedEndpoint, 0, 0, EndpointState.DRAINING));
        assertEquals(0, f.balancer.ejectedEndpoints(f.nowMs), "a draining endpoint does not count as ejected");
        f.updateEndpoints(Fixture.endpoint(ejectedEndpoint, 0, 0, EndpointState.READY));
        assertEquals(0, f.balancer.ejectedEndpoints(f.nowMs));
    }

    @Test
    void failingEndpointIsEjectedAndThenProbedByOneRequestAtATime() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(4));
        String ejectedEndpoint = f.ejectByTwoFailures(AttemptOutcome.FAILED);
        assertNotEquals(ejectedEndpoint, f.host.lastAttempt().endpoint());
        Set<String> usedEndpoints = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            usedEndpoints.add(f.host.lastAttempt().endpoint());
        }
        assertFalse(usedEndpoints.contains(ejectedEndpoint));
        f.nowMs += 5000;
        long requestsInFlight = 0;
        for (int i = 0; i < 20; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
            requestsInFlight += f.host.lastAttempt().endpoint().equals(ejectedEndpoint) ? 1 : 0;
        }
        assertTrue(requestsInFlight <= 1, "probes in flight: " + requestsInFlight);
    }

    /** Guards against ejections by chance when a few of the responses of all endpoints fail. */
    @Test
    void singleFailuresAmongManyResponsesDoNotEjectEndpoint() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(1));
        for (int i = 0; i < 100; i++) {
            f.sendRequest(Fixture.NON_IDEMPOTENT);
            f.finishAttempt(f.host.lastAttempt(), i % 10 == 9 ? AttemptOutcome.RESET : AttemptOutcome.OK, 20);
            f.nowMs += 300;
        }
        int startedBefore = f.host.started.size();
        for (int i = 0; i < 5; i++) {
            f.sendRequest(Fixture.NON_IDEMPOTENT);
        }
        assertEquals(startedBefore + 5, f.host.started.size(), "the endpoint still gets several requests at once");
    }

    /** Guards against applying the results of an earlier process to a new one with the same id. */
    @Test
    void newProcessWithKnownIdStartsHealthy() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(3));
        for (int i = 0; i < 12; i++) {
            f.sendRequest(Fixture.NON_IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> attemptsAtPreviousProcess = f.host.started.stream()
                .filter(attempt -> attempt.endpoint().equals("s0"))
                .toList();
        assertTrue(
                attemptsAtPreviousProcess.size() > 2,
                "attempts at the previous process: " + attemptsAtPreviousProcess.size());
        f.updateEndpoints(Fixture.endpoint("s0", 0, f.nowMs - 60_000, EndpointState.READY));
        attemptsAtPreviousProcess.forEach(attempt -> f.finishAttempt(attempt, AttemptOutcome.RESET, 5));
        int startedBefore = f.host.started.size();
        for (int i = 0; i < 12; i++) {
            f.sendRequest(Fixture.NON_IDEMPOTENT);
        }
        long requestsInFlight = f.host.started.stream()
                .skip(startedBefore)
                .filter(attempt -> attempt.endpoint().equals("s0"))
                .count();
        assertTrue(
                requestsInFlight > 1,
                "endpoint neither ejected nor in backoff; its requests in flight: " + requestsInFlight);
    }

    /** Guards against an overloaded tier whose endpoints are ejected one by one until none remain. */
    @Test
    void fullEndpointBacksOffButIsNotEjected() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(3));
        f.sendRequest(Fixture.IDEMPOTENT);
        String fullEndpoint = f.host.lastAttempt().endpoint();
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.QUEUE_FULL, 2);
        assertNotEquals(fullEndpoint, f.host.lastAttempt().endpoint());
        f.nowMs += 300;
        int startedBefore = f.host.started.size();
        for (int i = 0; i < 12; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        long requestsAfterBackoff = f.host.started.subList(startedBefore, f.host.started.size()).stream()
                .filter(s -> s.endpoint().equals(fullEndpoint))
                .count();
        assertTrue(
                requestsAfterBackoff >= 3,
                "only " + requestsAfterBackoff + " requests went to the endpoint after its backoff");
    }

    /** Guards against a hung endpoint that becomes healthy without a response. */
    @Test
    void endpointRecoversOnlyByResponses() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(6));
        String ejectedEndpoint = f.ejectByTwoFailures(AttemptOutcome.RESET);
        f.nowMs += 600;
        for (int i = 0; i < 10; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> probes = f.host.started.stream()
                .filter(s -> s.endpoint().equals(ejectedEndpoint))
                .toList();
        RecordingHost.StartedAttempt probe = probes.get(probes.size() - 1);
        for (int i = 0; i < 8; i++) {
            f.finishAttempt(probe, i % 2 == 0 ? AttemptOutcome.CANCELED : AttemptOutcome.IGNORED, 1);
            f.nowMs += 200;
            int startedBefore = f.host.started.size();
            for (int j = 0; j < 8; j++) {
                f.sendRequest(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> requestsAfterBackoff =
                    f.host.started.subList(startedBefore, f.host.started.size()).stream()
                            .filter(s -> s.endpoint().equals(ejectedEndpoint))
                            .toList();
            assertTrue(
                    requestsAfterBackoff.size() <= 1,
                    "one request at a time expected, but got " + requestsAfterBackoff.size());
            probe = requestsAfterBackoff.isEmpty() ? probe : requestsAfterBackoff.get(0);
        }
    }

    @Test
    void endpointsStayInUseWhenMostFail() {
        Fixture f = Fixture.of(1, 0, 1).setEndpoints(Fixture.endpoints(4));
        for (int i = 0; i < 100; i++) {
            f.nowMs += 10;
            f.sendRequest(Fixture.IDEMPOTENT);
            f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.FAILED, 2);
        }
        int startedBefore = f.host.started.size();
        f.sendRequest(Fixture.IDEMPOTENT);
        assertEquals(startedBefore + 1, f.host.started.size(), "an attempt is still started");
    }
}
