package lemonrail.core.policy;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;

/** Patterns of requests and responses that tests of the concurrency limit share. */
final class LoadPatterns {

    private LoadPatterns() {}

    /** Returns how many requests are forwarded before the first is rejected; they are cancelled then. */
    static int forwardedAtOnce(Fixture f) {
        int sent = f.host.started.size();
        int rejected = f.host.rejected.size();
        while (f.host.rejected.size() == rejected) {
            f.request(Fixture.IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> out = List.copyOf(f.host.started.subList(sent, f.host.started.size()));
        for (RecordingHost.StartedAttempt request : out) {
            f.balancer.onRequestCancelled(f.now, request.request());
            f.finish(request, AttemptOutcome.CANCELED, 1);
        }
        return out.size();
    }

    /** Sends a request every 100 ms; each forwarded one gets its response, after this time, before the next comes. */
    static int forwardedInASecond(Fixture f, double tookMs) {
        int before = f.host.started.size();
        for (int i = 0; i < 10; i++) {
            int sent = f.host.started.size();
            f.request(Fixture.IDEMPOTENT);
            f.now += tookMs;
            if (f.host.started.size() > sent) {
                f.finish(f.host.last(), AttemptOutcome.OK, tookMs);
            }
        }
        return f.host.started.size() - before;
    }

    static int forwardedAfterRounds(Fixture f, double tookMs, int rounds) {
        return forwardedAfterRounds(f, tookMs, tookMs, rounds);
    }

    /** Returns the requests forwarded at once in the last round; every second response takes the second time. */
    static int forwardedAfterRounds(Fixture f, double tookMs, double otherMs, int rounds) {
        int atOnce = 0;
        for (int round = 0; round < rounds; round++) {
            int before = f.host.started.size();
            for (int i = 0; i < 60; i++) {
                f.request(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> out = List.copyOf(f.host.started.subList(before, f.host.started.size()));
            f.now += Math.max(tookMs, otherMs);
            for (int i = 0; i < out.size(); i++) {
                f.finish(out.get(i), AttemptOutcome.OK, i % 2 == 0 ? tookMs : otherMs);
            }
            atOnce = out.size();
        }
        return atOnce;
    }
}
