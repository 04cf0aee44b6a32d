package lemonrail.core.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import lemonrail.core.balancer.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** Checks the final response, unknown events, the log line and that runs can be repeated. */
class BoxcarLoadBalancerTest {

    @Test
    void requestGetsOneFinalResponseAndNothingAfterIt() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(4));
        String id = f.request(Fixture.IDEMPOTENT);
        RecordingHost.StartedAttempt sent = f.host.last();
        f.balancer.onRequestCancelled(f.now, id);
        f.finish(sent, AttemptOutcome.CANCELED, 5);
        f.finish(sent, AttemptOutcome.FAILED, 6);
        assertEquals(1, f.host.started.size());
        assertTrue(f.host.rejected.isEmpty() && f.host.failed.isEmpty());
        assertEquals(List.of("r0#0"), f.host.cancelled);
    }

    @Test
    void eventsForUnknownRequestsAreIgnored() {
        Fixture f = Fixture.of(2, 0, 0).list(Fixture.endpoints(2));
        f.balancer.onRequestCancelled(f.now, "nobody");
        f.finish(new RecordingHost.StartedAttempt("nobody", 0, "s0", 1), AttemptOutcome.OK, 1);
        f.balancer.onResponseStreamStarted(f.now, "nobody", 0);
        f.balancer.onTimer(f.now, 99);
        assertTrue(f.host.started.isEmpty() && f.host.rejected.isEmpty());
    }

    @Test
    void loadSheddingIsLoggedOnceInAnInterval() {
        Fixture f = Fixture.of(10, 0, 0).list(Fixture.endpoints(20));
        for (int i = 0; i < 300; i++) {
            f.now += 100;
            f.request(Fixture.IDEMPOTENT);
        }
        assertTrue(f.host.log.size() >= 2 && f.host.log.size() <= 4, "lines " + f.host.log.size());
        String last = f.host.log.get(f.host.log.size() - 1);
        assertTrue(last.contains("requests rejected at a concurrency limit of 8,"), last);
    }

    @Test
    void equalEventsGiveEqualActions() {
        List<List<String>> runs = new ArrayList<>();
        for (int run = 0; run < 2; run++) {
            Fixture f = Fixture.of(7, 3, 0).list(Fixture.endpoints(12));
            Random random = new Random(5);
            for (int i = 0; i < 500; i++) {
                f.now += random.nextInt(30);
                f.request(random.nextInt(3));
                if (!f.host.started.isEmpty() && random.nextBoolean()) {
                    RecordingHost.StartedAttempt sent = f.host.started.get(random.nextInt(f.host.started.size()));
                    f.finish(sent, AttemptOutcome.values()[random.nextInt(6)], random.nextInt(900));
                }
            }
            runs.add(f.host.all);
        }
        assertEquals(runs.get(0), runs.get(1));
    }
}
