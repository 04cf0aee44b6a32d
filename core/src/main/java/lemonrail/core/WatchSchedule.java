package lemonrail.core;

import java.util.SplittableRandom;

/**
 * Schedules the watch calls to discovery: how long each waits for a change, its timeouts, and the backoff after a
 * failure. A change must take effect within 6 s after discovery had it and could be reached, whatever failed before.
 * A watch that has fallen silent is noticed only by its timeout, so at any fleet size the longest wait and all that may
 * follow it have to fit. Times are in milliseconds, each the longest:
 *
 * <pre>
 * the watch falls silent at its start, when the change comes     wait 3000 + silence 500
 * backoff after the first failure                                150
 * the next call, which hardly waits                              response at once   = 3650
 * if that one fails too: timeout, second backoff                 100 + 500 + 300    = 4550
 * if the next one fails too                                      100 + 500 + 600    = 5750
 * or its response comes, but in pieces                           2000               = 5650
 * </pre>
 *
 * <p>A call that gets no connection takes no longer than one that gets no response. A process in backoff when discovery
 * returns calls it at most 1.5 s later.
 *
 * <p>The wait is 10 ms per process of the fleet, so that the fleet makes about 100 calls a second, and 3 s at most:
 * from 300 processes on each makes a third of a call a second.
 */
public final class WatchSchedule {

    /** The longest wait of a call, as computed above. */
    public static final int MAX_WAIT_MS = 3_000;
    /** How long a call waits for a change, unless the fleet would make too many calls. */
    private static final int DEFAULT_WAIT_MS = 1_000;
    /** Calls of the whole fleet without changes, as long as the wait is below its maximum. */
    private static final int FLEET_CALLS_PER_SECOND = 100;
    /** No connection, or after the wait no (further) piece of a response, for this time is a failure. */
    private static final int SILENCE_TIMEOUT_MS = 500;
    /** The wait of a call after a failed one: it is to show soon whether discovery responds. */
    private static final int WAIT_AFTER_FAILURE_MS = 100;
    /** A response that has begun must be complete within this time. */
    private static final int RESPONSE_TIMEOUT_MS = 2_000;
    /** The mean backoff after a first failure; it doubles with each further one. */
    private static final double INITIAL_BACKOFF_MS = 100;

    private static final double MAX_BACKOFF_MS = 1_000;
    /**
     * The mean backoff is also at most this fraction of the drain grace, so that with its jitter none takes more than
     * half of it: a process in backoff learns of a drain only at the end of its backoff.
     */
    private static final double MAX_DRAIN_GRACE_FRACTION = 1.0 / 3;

    private static final double MIN_JITTER = 0.5;

    private final int waitMs;
    private final double maxBackoffMs;
    private final SplittableRandom random;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private boolean hasFailed;

    /**
     * Creates a schedule whose calls wait for a given time.
     *
     * @param waitMs at most {@link #MAX_WAIT_MS}
     * @param drainGraceMs the time in which requests to a draining endpoint must cease
     * @param seed the seed of the backoff's jitter
     */
    public WatchSchedule(int waitMs, double drainGraceMs, long seed) {
        this.waitMs = waitMs;
        maxBackoffMs = Math.max(INITIAL_BACKOFF_MS, Math.min(MAX_BACKOFF_MS, drainGraceMs * MAX_DRAIN_GRACE_FRACTION));
        random = new SplittableRandom(seed);
    }

    /** Creates the schedule of one of this many processes that watch the same list. */
    public static WatchSchedule ofFleet(int processes, double drainGraceMs, long seed) {
        long fleetWaitMs = processes * 1000L / FLEET_CALLS_PER_SECOND;
        int waitMs = (int) Math.max(DEFAULT_WAIT_MS, Math.min(MAX_WAIT_MS, fleetWaitMs));
        return new WatchSchedule(waitMs, drainGraceMs, seed);
    }

    /** Returns how long the next call asks discovery to wait for a change. */
    public int waitMs() {
        return hasFailed ? Math.min(WAIT_AFTER_FAILURE_MS, waitMs) : waitMs;
    }

    /** Returns the timeout of a connect, and of the first and each further piece of a response without a wait. */
    public static int silenceTimeoutMs() {
        return SILENCE_TIMEOUT_MS;
    }

    /** Returns the timeout of the rest of a response once its first piece has come. */
    public static int responseTimeoutMs() {
        return RESPONSE_TIMEOUT_MS;
    }

    /** Takes in that a response has come. */
    public void onResponse() {
        hasFailed = false;
        backoffMs = INITIAL_BACKOFF_MS;
    }

    /** Takes in that a call has failed, and returns the backoff, with jitter as others fail at the same time. */
    public double onFailure() {
        hasFailed = true;
        double withJitterMs = backoffMs * (MIN_JITTER + random.nextDouble());
        backoffMs = Math.min(maxBackoffMs, 2 * backoffMs);
        return withJitterMs;
    }
}
