package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import lemonrail.core.balancer.AttemptOutcome;
import lemonrail.core.balancer.AttemptResult;
import lemonrail.core.balancer.LoadReport;
import org.junit.jupiter.api.Test;

/** Checks the effect of failed connects on their endpoint. */
class ConnectFailureTest {

    /**
     * Sends {@code requestsPerEndpoint} requests to each of three endpoints. All get a response, except the last one on
     * the endpoint of lowest rank, which is returned.
     */
    private static RecordingHost.StartedAttempt finishAllAttemptsExceptOne(Fixture f, int requestsPerEndpoint) {
        f.setEndpoints(Fixture.endpoints(3));
        for (int i = 0; i < 3 * requestsPerEndpoint; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        String lowestRankedEndpoint = f.host.started.get(0).endpoint();
        RecordingHost.StartedAttempt unfinishedAttempt = f.host.started.get(3 * requestsPerEndpoint - 3);
        assertEquals(lowestRankedEndpoint, unfinishedAttempt.endpoint());
        for (RecordingHost.StartedAttempt attempt : List.copyOf(f.host.started)) {
            if (!attempt.equals(unfinishedAttempt)) {
                f.finishAttempt(attempt, AttemptOutcome.OK, 10);
            }
        }
        return unfinishedAttempt;
    }

    private static void failConnect(Fixture f, RecordingHost.StartedAttempt attempt) {
        f.balancer.onAttemptFinished(
                f.nowMs,
                new AttemptResult(
                        attempt.request(),
                        attempt.attempt(),
                        attempt.endpoint(),
                        AttemptOutcome.CONNECT_ERROR,
                        200,
                        true,
                        LoadReport.NONE));
    }

    /** Guards against taking endpoints with slow or failing connection handshakes for dead ones (incident i190c84). */
    @Test
    void failedConnectsKeepOpenConnectionsInUse() {
        Fixture f = Fixture.of(1, 0, 1);
        RecordingHost.StartedAttempt unfinishedAttempt = finishAllAttemptsExceptOne(f, 2);
        failConnect(f, unfinishedAttempt);
        f.sendRequest(Fixture.IDEMPOTENT);
        f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, 10);
        f.nowMs += 1500;
        for (int i = 0; i < 6; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        RecordingHost.StartedAttempt reconnect = f.host.lastAttempt();
        assertEquals(
                unfinishedAttempt.endpoint(),
                reconnect.endpoint(),
                "the slot without a connection has the highest rank");
        failConnect(f, reconnect);
        assertEquals(List.of(), f.host.closed);
        f.finishAttempt(f.host.started.get(f.host.started.size() - 6), AttemptOutcome.OK, 10);
        f.sendRequest(Fixture.NON_IDEMPOTENT);
        assertEquals(
                unfinishedAttempt.endpoint(),
                f.host.lastAttempt().endpoint(),
                "a non-idempotent request uses the open connection");
    }

    /** A second connect failure before any response counts against the endpoint. */
    @Test
    void endpointWithRepeatedConnectFailuresIsEjected() {
        Fixture f = Fixture.of(1, 0, 1);
        RecordingHost.StartedAttempt unfinishedAttempt = finishAllAttemptsExceptOne(f, 3);
        failConnect(f, unfinishedAttempt);
        int startedBefore = f.host.started.size();
        for (int i = 0; i < 4; i++) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        failConnect(f, f.host.lastAttempt());
        f.nowMs += 1500;
        f.finishAttempt(f.host.started.get(startedBefore), AttemptOutcome.OK, 10);
        f.sendRequest(Fixture.NON_IDEMPOTENT);
        assertTrue(
                !f.host.lastAttempt().endpoint().equals(unfinishedAttempt.endpoint()),
                "no request goes to the ejected endpoint");
    }

    /** Guards against ejections by chance when a third of the connects to all endpoints are too slow. */
    @Test
    void randomConnectFailuresEjectFewEndpoints() {
        Fixture f = Fixture.of(3, 0, 1).setEndpoints(Fixture.endpoints(4));
        Random random = new Random(11);
        int ejectedObservations = 0;
        int rounds = 600;
        for (int round = 0; round < rounds; round++) {
            f.nowMs += 50;
            f.sendRequest(Fixture.IDEMPOTENT);
            ejectedObservations += round < 100 ? 0 : f.balancer.ejectedEndpoints(f.nowMs);
            int startedBefore;
            do {
                startedBefore = f.host.started.size();
                boolean isLate = random.nextInt(3) == 0;
                f.nowMs += isLate ? 200 : 20;
                f.finishAttempt(
                        f.host.lastAttempt(),
                        isLate ? AttemptOutcome.CONNECT_ERROR : AttemptOutcome.OK,
                        isLate ? 200 : 20);
            } while (f.host.started.size() > startedBefore);
        }
        assertTrue(
                ejectedObservations < 4 * (rounds - 100) / 10,
                ejectedObservations + " of " + 4 * (rounds - 100) + " observations of an endpoint found it ejected");
    }
}
