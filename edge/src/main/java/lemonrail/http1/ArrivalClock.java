package lemonrail.http1;

import lemonrail.time.Clock;

/**
 * Estimates when the input that is being read arrived on a connection. Input may have waited while the event loop was
 * busy, and the first input may have arrived as early as the connection was opened. Confined to the event loop.
 */
final class ArrivalClock {

    private final Clock clock;
    private final double openedAtMs;
    /** The number of event loop polls when the connection was accepted. */
    private final long openedInPoll;

    /** Creates the clock of a connection that has just been accepted. */
    ArrivalClock(Clock clock) {
        this.clock = clock;
        openedAtMs = earliestArrivalMs();
        openedInPoll = clock.lag().pollCount();
    }

    /** Returns the earliest time at which the input that is being read can have arrived, in milliseconds. */
    double arrivedAtMs() {
        long polls = clock.lag().pollCount();
        boolean justOpened = polls > 0 && polls <= openedInPoll + 1;
        return justOpened ? openedAtMs : earliestArrivalMs();
    }

    private double earliestArrivalMs() {
        return clock.now() - clock.maxQueueDelayMs();
    }
}
