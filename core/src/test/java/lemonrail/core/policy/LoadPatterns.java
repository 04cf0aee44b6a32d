package lemonrail.core.policy;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;

/** Patterns of requests and responses that tests of the concurrency limit share. */
final class LoadPatterns {

    private LoadPatterns() {}

    /** How many calls are taken before the first is turned away; they are withdrawn again. */
    static int forwardedAtOnce(Fixture f) {
        int sent = f.host.sent.size();
        int refused = f.host.refused.size();
        while (f.host.refused.size() == refused) {
            f.request(Fixture.IDEMPOTENT);
        }
        List<Recorder.Sent> out = List.copyOf(f.host.sent.subList(sent, f.host.sent.size()));
        for (Recorder.Sent call : out) {
            f.balancer.onRequestCancelled(f.now, call.request());
            f.finish(call, AttemptOutcome.CANCELED, 1);
        }
        return out.size();
    }

    /** A call comes every 100 ms; each that is taken is answered in the time given before the next comes. */
    static int forwardedInASecond(Fixture f, double tookMs) {
        int before = f.host.sent.size();
        for (int i = 0; i < 10; i++) {
            int sent = f.host.sent.size();
            f.request(Fixture.IDEMPOTENT);
            f.now += tookMs;
            if (f.host.sent.size() > sent) {
                f.finish(f.host.last(), AttemptOutcome.OK, tookMs);
            }
        }
        return f.host.sent.size() - before;
    }

    static int forwardedAfterRounds(Fixture f, double tookMs, int rounds) {
        return forwardedAfterRounds(f, tookMs, tookMs, rounds);
    }

    /** The calls taken at once in the last of these rounds; every second answer takes the second time. */
    static int forwardedAfterRounds(Fixture f, double tookMs, double otherMs, int rounds) {
        int atOnce = 0;
        for (int round = 0; round < rounds; round++) {
            int before = f.host.sent.size();
            for (int i = 0; i < 60; i++) {
                f.request(Fixture.IDEMPOTENT);
            }
            List<Recorder.Sent> out = List.copyOf(f.host.sent.subList(before, f.host.sent.size()));
            f.now += Math.max(tookMs, otherMs);
            for (int i = 0; i < out.size(); i++) {
                f.finish(out.get(i), AttemptOutcome.OK, i % 2 == 0 ? tookMs : otherMs);
            }
            atOnce = out.size();
        }
        return atOnce;
    }
}
