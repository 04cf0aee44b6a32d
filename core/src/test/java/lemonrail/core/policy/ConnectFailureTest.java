package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.LoadReport;
import org.junit.jupiter.api.Test;

/** Checks what failed connects do to their endpoint. */
class ConnectFailureTest {

    /** So many requests on each of three endpoints: all get a response but the last on the lowest-ranked one. */
    private static RecordingHost.StartedAttempt allRespondedButOne(Fixture f, int each) {
        f.list(Fixture.endpoints(3));
        for (int i = 0; i < 3 * each; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        String lowest = f.host.started.get(0).endpoint();
        RecordingHost.StartedAttempt left = f.host.started.get(3 * each - 3);
        assertEquals(lowest, left.endpoint());
        for (RecordingHost.StartedAttempt sent : List.copyOf(f.host.started)) {
            if (!sent.equals(left)) {
                f.finish(sent, AttemptOutcome.OK, 10);
            }
        }
        return left;
    }

    private static void connectFails(Fixture f, RecordingHost.StartedAttempt sent) {
        f.balancer.onAttemptFinished(
                f.now,
                new AttemptResult(
                        sent.request(),
                        sent.attempt(),
                        sent.endpoint(),
                        AttemptOutcome.CONNECT_ERROR,
                        200,
                        true,
                        LoadReport.NONE));
    }

    /** Guards against slow or failing handshakes taken for dead endpoints (incident i190c84). */
    @Test
    void failedConnectsLeaveOpenConnectionsInUse() {
        Fixture f = Fixture.of(1, 0, 1);
        RecordingHost.StartedAttempt left = allRespondedButOne(f, 2);
        connectFails(f, left);
        f.request(Fixture.IDEMPOTENT);
        f.finish(f.host.last(), AttemptOutcome.OK, 10);
        f.now += 1500;
        for (int i = 0; i < 6; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        RecordingHost.StartedAttempt again = f.host.last();
        assertEquals(left.endpoint(), again.endpoint(), "the slot without a connection comes last");
        connectFails(f, again);
        assertEquals(List.of(), f.host.closed);
        f.finish(f.host.started.get(f.host.started.size() - 6), AttemptOutcome.OK, 10);
        f.request(Fixture.NON_IDEMPOTENT);
        assertEquals(left.endpoint(), f.host.last().endpoint(), "a request that must not run twice goes there");
    }

    /** A connect that fails again before any response counts against the endpoint after all. */
    @Test
    void endpointThatOnlyFailsConnectsIsEjected() {
        Fixture f = Fixture.of(1, 0, 1);
        RecordingHost.StartedAttempt left = allRespondedButOne(f, 3);
        connectFails(f, left);
        int before = f.host.started.size();
        for (int i = 0; i < 4; i++) {
            f.request(Fixture.IDEMPOTENT);
        }
        connectFails(f, f.host.last());
        f.now += 1500;
        f.finish(f.host.started.get(before), AttemptOutcome.OK, 10);
        f.request(Fixture.NON_IDEMPOTENT);
        assertTrue(!f.host.last().endpoint().equals(left.endpoint()), "not trusted any more");
    }

    /** Guards against ejections by chance, where a third of all connections come up too late, at any endpoint. */
    @Test
    void connectsThatFailByChanceEjectFewEndpoints() {
        Fixture f = Fixture.of(3, 0, 1).list(Fixture.endpoints(4));
        Random random = new Random(11);
        int ejectedEndpoints = 0;
        int rounds = 600;
        for (int round = 0; round < rounds; round++) {
            f.now += 50;
            f.request(Fixture.IDEMPOTENT);
            ejectedEndpoints += round < 100 ? 0 : f.balancer.ejectedEndpoints(f.now);
            int sent;
            do {
                sent = f.host.started.size();
                boolean late = random.nextInt(3) == 0;
                f.now += late ? 200 : 20;
                f.finish(f.host.last(), late ? AttemptOutcome.CONNECT_ERROR : AttemptOutcome.OK, late ? 200 : 20);
            } while (f.host.started.size() > sent);
        }
        assertTrue(
                ejectedEndpoints < 4 * (rounds - 100) / 10,
                ejectedEndpoints + " of " + 4 * (rounds - 100) + " are avoided");
    }
}
