package lemonrail.core;

import java.util.SplittableRandom;

/**
 * Schedules the watch calls to discovery: how long each call waits for a change, its timeouts, and the backoff after a
 * failure. A change must take effect within 6 s after discovery has received it and can be reached, whatever calls
 * failed before. Only its timeout reveals a watch call that gets no response. Therefore the longest wait and all
 * failures that may follow it must fit into this time at any fleet size. Each time below, in milliseconds, is the
 * maximum:
 *
 * <pre>
 * the watch hangs from its start, when the change arrives        wait 3000 + silence 500
 * backoff after the first failure                                150
 * the next call, with a very short wait                          response at once   = 3650
 * if that call fails too: timeout, second backoff                100 + 500 + 300    = 4550
 * if the next call fails too                                     100 + 500 + 600    = 5750
 * or if the first response arrives, but in several parts         2000               = 5650
 * </pre>
 *
 * <p>A call that gets no connection takes no longer than one that gets no response. A process that is in backoff when
 * discovery becomes reachable again calls it at most 1.5 s later.
 *
 * <p>The wait is 10 ms per process of the fleet, so that the fleet makes about 100 calls per second, but at most 3 s.
 * From 300 processes on, each process therefore makes a third of a call per second.
 */
public final class WatchSchedule {

    /** The longest time that a call waits for a change, from the worst case above. */
    public static final int MAX_WAIT_MS = 3_000;
    /** The time that a call waits for a change, in a fleet so small that it does not make too many calls. */
    private static final int DEFAULT_WAIT_MS = 1_000;
    /** Calls of the complete fleet when nothing changes, while the wait is below its maximum. */
    private static final int FLEET_CALLS_PER_SECOND = 100;
    /**
     * A call fails if it has no connection, or after its wait no first or further part of a response, for this time.
     */
    private static final int SILENCE_TIMEOUT_MS = 500;
    /** The wait of a call after a failed one. It is short, so that it soon shows whether discovery responds again. */
    private static final int WAIT_AFTER_FAILURE_MS = 100;
    /** A response must be complete within this time after its first part. */
    private static final int RESPONSE_TIMEOUT_MS = 2_000;
    /** The mean backoff after the first failure. It doubles with each further failure. */
    private static final double INITIAL_BACKOFF_MS = 100;

    private static final double MAX_BACKOFF_MS = 1_000;
    /**
     * The mean backoff is also limited to this fraction of the drain grace period, so that no backoff, with jitter,
     * takes more than half of that period. This is needed because a process in backoff notices a drain only when its
     * backoff ends.
     */
    private static final double MAX_DRAIN_GRACE_FRACTION = 1.0 / 3;

    private static final double MIN_JITTER = 0.5;

    private final int waitMs;
    private final double maxBackoffMs;
    private final SplittableRandom random;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private boolean lastCallFailed;

    /**
     * Creates a schedule whose calls wait for the given time.
     *
     * @param waitMs at most {@link #MAX_WAIT_MS}
     * @param drainGraceMs the time after which no more requests may go to a draining endpoint
     * @param seed the seed of the backoff's jitter
     */
    public WatchSchedule(int waitMs, double drainGraceMs, long seed) {
        this.waitMs = waitMs;
        maxBackoffMs = Math.max(INITIAL_BACKOFF_MS, Math.min(MAX_BACKOFF_MS, drainGraceMs * MAX_DRAIN_GRACE_FRACTION));
        random = new SplittableRandom(seed);
    }

    /** Creates the schedule of one process in a fleet of this many processes that watch the same endpoint list. */
    public static WatchSchedule ofFleet(int processes, double drainGraceMs, long seed) {
        long fleetWaitMs = processes * 1000L / FLEET_CALLS_PER_SECOND;
        int waitMs = (int) Math.max(DEFAULT_WAIT_MS, Math.min(MAX_WAIT_MS, fleetWaitMs));
        return new WatchSchedule(waitMs, drainGraceMs, seed);
    }

    /** Returns how long discovery is to wait for a change before it responds to the next call. */
    public int waitMs() {
        return lastCallFailed ? Math.min(WAIT_AFTER_FAILURE_MS, waitMs) : waitMs;
    }

    /**
     * Returns the timeout of a connect, and of the first and each further part of a response; the wait is not included.
     */
    public static int silenceTimeoutMs() {
        return SILENCE_TIMEOUT_MS;
    }

    /** Returns the time within which a response must be complete after its first part. */
    public static int responseTimeoutMs() {
        return RESPONSE_TIMEOUT_MS;
    }

    /** Records a response, which resets wait and backoff. */
    public void onResponse() {
        lastCallFailed = false;
        backoffMs = INITIAL_BACKOFF_MS;
    }

    /**
     * Records a failed call and returns the backoff before the next one. It has jitter, because the calls of other
     * processes fail at the same time.
     */
    public double onFailure() {
        lastCallFailed = true;
        double jitteredBackoffMs = backoffMs * (MIN_JITTER + random.nextDouble());
        backoffMs = Math.min(maxBackoffMs, 2 * backoffMs);
        return jitteredBackoffMs;
    }
}
