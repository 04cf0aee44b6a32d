package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lemonrail.core.balancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Checks the final response, events for unknown requests, the log line and that runs are reproducible. */
class BoxcarLoadBalancerTest {

    @Test
    void cancelledRequestGetsNoResponseAndNoRetry() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(4));
        String id = f.sendRequest(Fixture.IDEMPOTENT);
        RecordingHost.StartedAttempt attempt = f.host.lastAttempt();
        f.balancer.onRequestCancelled(f.nowMs, id);
        f.finishAttempt(attempt, AttemptOutcome.CANCELED, 5);
        f.finishAttempt(attempt, AttemptOutcome.FAILED, 6);
        assertEquals(1, f.host.started.size());
        assertTrue(f.host.rejected.isEmpty() && f.host.failed.isEmpty());
        assertEquals(List.of("r0#0"), f.host.cancelled);
    }

    @Test
    void eventsForUnknownRequestsAreIgnored() {
        Fixture f = Fixture.of(2, 0, 0).setEndpoints(Fixture.endpoints(2));
        f.balancer.onRequestCancelled(f.nowMs, "nobody");
        f.finishAttempt(new RecordingHost.StartedAttempt("nobody", 0, "s0", 1), AttemptOutcome.OK, 1);
        f.balancer.onResponseStreamStarted(f.nowMs, "nobody", 0);
        f.balancer.onTimer(f.nowMs, 99);
        assertTrue(f.host.started.isEmpty() && f.host.rejected.isEmpty());
    }

    @Test
    void loadSheddingIsLoggedOncePerInterval() {
        Fixture f = Fixture.of(10, 0, 0).setEndpoints(Fixture.endpoints(20));
        for (int i = 0; i < 300; i++) {
            f.nowMs += 100;
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        assertTrue(f.host.log.size() >= 2 && f.host.log.size() <= 4, "number of log lines: " + f.host.log.size());
        String lastLine = f.host.log.get(f.host.log.size() - 1);
        assertTrue(lastLine.contains("requests rejected at a concurrency limit of 8,"), lastLine);
    }

    @Test
    void equalEventsCauseEqualActions() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Fixture f = Fixture.of(7, 3, 0).setEndpoints(Fixture.endpoints(12));
            Random random = new Random(5);
            for (int i = 0; i < 500; i++) {
                f.nowMs += random.nextInt(30);
                f.sendRequest(random.nextInt(3));
                if (!f.host.started.isEmpty() && random.nextBoolean()) {
                    RecordingHost.StartedAttempt attempt = f.host.started.get(random.nextInt(f.host.started.size()));
                    f.finishAttempt(attempt, AttemptOutcome.values()[random.nextInt(6)], random.nextInt(900));
                }
            }
            runs.add(f.host.actions);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
