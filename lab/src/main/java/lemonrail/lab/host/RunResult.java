package lemonrail.lab.host;

import java.util.List;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.scenario.Scenario;

/**
 * What came of one run.
 *
 * @param whole false where it was interrupted
 * @param broken rules broken, in words
 * @param mostOpen connections of clients that were open at once
 * @param cpuMs of the sidecars, or NaN where they share the lab's process
 */
public record RunResult(
        Scenario scenario,
        Scenario.Variant variant,
        long seed,
        BalancerSettings settings,
        boolean whole,
        List<ClientRequest> requests,
        AttemptRecorder recorder,
        List<Node> nodes,
        List<String> broken,
        Lateness lateness,
        int mostOpen,
        double cpuMs) {

    /** An endpoint and the work that it did, in ms on a core of speed 1. */
    public record Node(int tier, String id, double speed, double doneMs, int mostHeld) {}

    /**
     * How late the lab itself was: its timers and the sending of requests, in ms.
     *
     * @param waited requests that found all of the clients' connections busy
     */
    public record Lateness(double timers99Ms, double timersMostMs, double sentMeanMs, double sentMostMs, long waited) {

        /** A run whose lab was later than this in its timers, 99 in 100, is void. */
        public static final double MOST_TIMERS_MS = 10;
        /** A run whose requests were sent later than this, in the mean, is void. */
        public static final double MOST_SENT_MS = 5;

        /** Whether the figures of the run are the lab's rather than the sidecars'. */
        public boolean isVoid() {
            return timers99Ms > MOST_TIMERS_MS || sentMeanMs > MOST_SENT_MS || waited > 0;
        }
    }
}
