package lemonrail.core;

import java.util.SplittableRandom;

/**
 * How a watch on discovery is kept up. A watch may fall silent and nothing tells that it has, so what it
 * would have brought is learned only when it is given up. Whatever failed before, a change binds 6 s after
 * discovery had it and could be reached; so at any fleet's size the longest wait and what follows it have to
 * fit in there. Times are in milliseconds, each the most:
 *
 * <pre>
 * the watch falls silent as it is asked, and the change comes    wait 3000 + silence 500
 * the pause after a first failure                                150
 * the call after it, which hardly waits                          answered at once   = 3650
 * if that one dies as well: given up, a second pause             100 + 500 + 300    = 4550
 * if the next one does so too                                    100 + 500 + 600    = 5750
 * or the answer comes, but in pieces, instead                    2000               = 5650
 * </pre>
 *
 * <p>A call that gets no connection costs no more than one that gets no answer. Who pauses when discovery
 * is back asks at most 1.5 s later.
 *
 * <p>The wait is 10 ms for each of the fleet, so that its calls stay about 100 a second, but 3 s at most:
 * beyond 300 instances each makes a third of a call a second, and a fleet of 1,000 makes 333. That is our own
 * measure, not a price: the platform's agents are on the sidecars' machines and answer at no cost, and what
 * is priced elsewhere are lines of lists, of which an answer without news has none.
 *
 * <p>Weighed besides: a short heartbeat beside a long wait, or two watches in turn, twice the connections and
 * calls that a node holds, to ask no less often; and TCP keep-alive, which doesn't notice a machine that has
 * been cut off, nor a watch that is silent on a connection that lives.
 */
public final class WatchSchedule {

    /** The longest wait, of a large fleet or by an operators' file: see the sum above. */
    public static final int LONGEST_WAIT_MS = 3_000;
    /** How long a call waits for news, unless the fleet's calls would be too many. */
    private static final int USUAL_WAIT_MS = 1_000;
    /** Calls a second of the whole fleet while there is no news, up to the longest wait. */
    private static final int FLEET_CALLS_PER_S = 100;
    /** No connection, and after the wait nothing (more) of an answer, for so long is a failure. */
    private static final int SILENCE_MS = 500;
    /** How long a call waits for news if the one before it failed: it soon shows if there are answers. */
    private static final int RECHECK_WAIT_MS = 100;
    /** An answer that has begun is whole within this time, or has failed. */
    private static final int ANSWER_MS = 2_000;
    /** The mean pause after a failure, which doubles with each in a row up to the most. */
    private static final double PAUSE_MS = 100;

    private static final double MOST_PAUSE_MS = 1_000;
    /**
     * The most is also this part of the time in which sends to a leaving server must cease, so that with its
     * spread no pause takes more than half of that: what discovery has at its return binds at once, and a
     * call that waits then is answered at once, but who pauses hears of it only at the end of the pause.
     */
    private static final double MOST_PAUSE_SHARE = 1.0 / 3;

    private final int waitMs;
    private final double mostPauseMs;
    private final SplittableRandom random;
    private double pauseMs = PAUSE_MS;
    private boolean hasFailed;

    /**
     * The pace of one whose calls wait so long.
     *
     * @param waitMs {@link #LONGEST_WAIT_MS} at most
     * @param drainGraceMs the time in which sends to a leaving server must cease, as in the settings
     * @param seed its own
     */
    public WatchSchedule(int waitMs, double drainGraceMs, long seed) {
        this.waitMs = waitMs;
        mostPauseMs = Math.max(PAUSE_MS, Math.min(MOST_PAUSE_MS, drainGraceMs * MOST_PAUSE_SHARE));
        random = new SplittableRandom(seed);
    }

    /** The pace of one among so many instances that watch the same list. */
    public static WatchSchedule ofFleet(int instances, double drainGraceMs, long seed) {
        long shareMs = instances * 1000L / FLEET_CALLS_PER_S;
        return new WatchSchedule((int) Math.max(USUAL_WAIT_MS, Math.min(LONGEST_WAIT_MS, shareMs)), drainGraceMs, seed);
    }

    /** How long the next call asks discovery to wait for news. */
    public int waitMs() {
        return hasFailed ? Math.min(RECHECK_WAIT_MS, waitMs) : waitMs;
    }

    /** How long a connection is awaited, and the first and each further piece of an answer without a wait. */
    public static int silenceMs() {
        return SILENCE_MS;
    }

    /** How long all the rest of an answer may take once its first piece has come. */
    public static int answerMs() {
        return ANSWER_MS;
    }

    /** Takes in that an answer has come. */
    public void answered() {
        hasFailed = false;
        pauseMs = PAUSE_MS;
    }

    /** Takes in that a call has failed; how long to pause, spread as others fail at the same instant. */
    public double failed() {
        hasFailed = true;
        double pause = pauseMs * (0.5 + random.nextDouble());
        pauseMs = Math.min(mostPauseMs, 2 * pauseMs);
        return pause;
    }
}
