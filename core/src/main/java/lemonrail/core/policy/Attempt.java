package lemonrail.core.policy;

import lemonrail.core.balancer.AttemptOutcome;

/** One attempt of a request. */
final class Attempt {

    private final Slot slot;
    private final double startedMs;
    /** Null while the attempt is in flight. */
    private AttemptOutcome outcome;

    Attempt(Slot slot, double startedMs) {
        this.slot = slot;
        this.startedMs = startedMs;
    }

    Slot slot() {
        return slot;
    }

    EndpointRecord endpoint() {
        return slot.endpoint();
    }

    double startedMs() {
        return startedMs;
    }

    boolean isInFlight() {
        return outcome == null;
    }

    void finish(AttemptOutcome finalOutcome) {
        outcome = finalOutcome;
    }
}
