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

    /** The figure for operators: it counts ejected endpoints; one that comes back from draining is healthy. */
    @Test
    void ejectedEndpointsAreCountedUntilTheyComeBackFromDraining() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(4));
        assertEquals(0, f.balancer.ejectedEndpoints(f.now));
        String bad = f.failTwice(AttemptOutcome.FAILED);
        assertEquals(1, f.balancer.ejectedEndpoints(f.now));
        f.change(Fixture.endpoint(bad, 0, 0, EndpointState.DRAINING));
        assertEquals(0, f.balancer.ejectedEndpoints(f.now), "it is discovery that leaves it out now");
        f.change(Fixture.endpoint(bad, 0, 0, EndpointState.READY));
        assertEquals(0, f.balancer.ejectedEndpoints(f.now));
    }

    @Test
    void failingEndpointIsEjectedThenProbedByOneRequestAtATime() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(4));
        String bad = f.failTwice(AttemptOutcome.FAILED);
        assertNotEquals(bad, f.host.last().endpoint());
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.IDEMPOTENT);
            used.add(f.host.last().endpoint());
        }
        assertFalse(used.contains(bad));
        f.now += 5000;
        long atOnce = 0;
        for (int i = 0; i < 20; i++) {
            f.request(Fixture.IDEMPOTENT);
            atOnce += f.host.last().endpoint().equals(bad) ? 1 : 0;
        }
        assertTrue(atOnce <= 1, "at once " + atOnce);
    }

    /** Guards against ejections by chance, where a few of all responses are spoilt whichever endpoint gives them. */
    @Test
    void singleFailuresAmongManyResponsesEjectNoEndpoint() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(1));
        for (int i = 0; i < 100; i++) {
            f.request(Fixture.NON_IDEMPOTENT);
            f.finish(f.host.last(), i % 10 == 9 ? AttemptOutcome.RESET : AttemptOutcome.OK, 20);
            f.now += 300;
        }
        int before = f.host.started.size();
        for (int i = 0; i < 5; i++) {
            f.request(Fixture.NON_IDEMPOTENT);
        }
        assertEquals(before + 5, f.host.started.size(), "it takes several requests in flight");
    }

    /** Guards against a new process judged by the results of the previous process. */
    @Test
    void newProcessUnderAnOldIdStartsHealthy() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(3));
        for (int i = 0; i < 12; i++) {
            f.request(Fixture.NON_IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> old = f.host.started.stream()
                .filter(sent -> sent.endpoint().equals("s0"))
                .toList();
        assertTrue(old.size() > 2, "requests to the former process: " + old.size());
        f.change(Fixture.endpoint("s0", 0, f.now - 60_000, EndpointState.READY));
        old.forEach(sent -> f.finish(sent, AttemptOutcome.RESET, 5));
        int before = f.host.started.size();
        for (int i = 0; i < 12; i++) {
            f.request(Fixture.NON_IDEMPOTENT);
        }
        long atOnce = f.host.started.stream()
                .skip(before)
                .filter(sent -> sent.endpoint().equals("s0"))
                .count();
        assertTrue(atOnce > 1, "it is neither ejected nor in backoff, but takes " + atOnce);
    }

    /** Guards against an overloaded tier whose endpoints are ejected one by one until none is left. */
    @Test
    void fullEndpointBacksOffButIsNotEjected() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(3));
        f.request(Fixture.IDEMPOTENT);
        String full = f.host.last().endpoint();
        f.finish(f.host.last(), AttemptOutcome.QUEUE_FULL, 2);
        assertNotEquals(full, f.host.last().endpoint());
        f.now += 300;
        int before = f.host.started.size();
        for (int i = 0; i < 12; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        long again = f.host.started.subList(before, f.host.started.size()).stream()
                .filter(s -> s.endpoint().equals(full))
                .count();
        assertTrue(again >= 3, "only " + again + " requests went to an endpoint that was full a while ago");
    }

    /** Guards against a hung endpoint that recovers without ever responding. */
    @Test
    void onlyResponsesLetAnEndpointRecover() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(6));
        String bad = f.failTwice(AttemptOutcome.RESET);
        f.now += 600;
        for (int i = 0; i < 10; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> probes =
                f.host.started.stream().filter(s -> s.endpoint().equals(bad)).toList();
        RecordingHost.StartedAttempt probe = probes.get(probes.size() - 1);
        for (int i = 0; i < 8; i++) {
            f.finish(probe, i % 2 == 0 ? AttemptOutcome.CANCELED : AttemptOutcome.IGNORED, 1);
            f.now += 200;
            int before = f.host.started.size();
            for (int j = 0; j < 8; j++) {
                f.request(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> again = f.host.started.subList(before, f.host.started.size()).stream()
                    .filter(s -> s.endpoint().equals(bad))
                    .toList();
            assertTrue(again.size() <= 1, "still one request at a time, but " + again.size());
            probe = again.isEmpty() ? probe : again.get(0);
        }
    }

    @Test
    void noEndpointIsGivenUpWhenMostFail() {
        Fixture f = Fixture.of(1, 0, 1).list(Fixture.endpoints(4));
        for (int i = 0; i < 100; i++) {
            f.now += 10;
            f.request(Fixture.IDEMPOTENT);
            f.finish(f.host.last(), AttemptOutcome.FAILED, 2);
        }
        int before = f.host.started.size();
        f.request(Fixture.IDEMPOTENT);
        assertEquals(before + 1, f.host.started.size(), "something is still tried");
    }
}
