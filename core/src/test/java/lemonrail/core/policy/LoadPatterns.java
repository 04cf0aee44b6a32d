package lemonrail.core.policy;

import java.util.List;
import lemonrail.core.balancer.AttemptOutcome;

/** Patterns of requests and responses for tests of the concurrency limit. */
final class LoadPatterns {

    private LoadPatterns() {}

    /** Sends requests until one is rejected, cancels the forwarded ones and returns their number. */
    static int countForwardedAtOnce(Fixture f) {
        int startedBefore = f.host.started.size();
        int rejected = f.host.rejected.size();
        while (f.host.rejected.size() == rejected) {
            f.sendRequest(Fixture.IDEMPOTENT);
        }
        List<RecordingHost.StartedAttempt> attempts =
                List.copyOf(f.host.started.subList(startedBefore, f.host.started.size()));
        for (RecordingHost.StartedAttempt attempt : attempts) {
            f.balancer.onRequestCancelled(f.nowMs, attempt.request());
            f.finishAttempt(attempt, AttemptOutcome.CANCELED, 1);
        }
        return attempts.size();
    }

    /**
     * Sends ten requests in a row and returns how many are forwarded. Each one lasts {@code responseTimeMs} before the
     * next is sent.
     */
    static int countForwardedInOneSecond(Fixture f, double responseTimeMs) {
        int startedAtFirst = f.host.started.size();
        for (int i = 0; i < 10; i++) {
            int startedBefore = f.host.started.size();
            f.sendRequest(Fixture.IDEMPOTENT);
            f.nowMs += responseTimeMs;
            if (f.host.started.size() > startedBefore) {
                f.finishAttempt(f.host.lastAttempt(), AttemptOutcome.OK, responseTimeMs);
            }
        }
        return f.host.started.size() - startedAtFirst;
    }

    static int countForwardedAfterRounds(Fixture f, double responseTimeMs, int rounds) {
        return countForwardedAfterRounds(f, responseTimeMs, responseTimeMs, rounds);
    }

    /**
     * Returns the number of requests that are forwarded at once in the last round. Every second response takes
     * {@code otherResponseTimeMs}.
     */
    static int countForwardedAfterRounds(Fixture f, double responseTimeMs, double otherResponseTimeMs, int rounds) {
        int forwardedInRound = 0;
        for (int round = 0; round < rounds; round++) {
            int startedBefore = f.host.started.size();
            for (int i = 0; i < 60; i++) {
                f.sendRequest(Fixture.IDEMPOTENT);
            }
            List<RecordingHost.StartedAttempt> attempts =
                    List.copyOf(f.host.started.subList(startedBefore, f.host.started.size()));
            f.nowMs += Math.max(responseTimeMs, otherResponseTimeMs);
            for (int i = 0; i < attempts.size(); i++) {
                f.finishAttempt(attempts.get(i), AttemptOutcome.OK, i % 2 == 0 ? responseTimeMs : otherResponseTimeMs);
            }
            forwardedInRound = attempts.size();
        }
        return forwardedInRound;
    }
}
