package lemonrail.lab.host;

import java.util.List;
import lemonrail.core.balancer.BalancerSettings;
import lemonrail.lab.model.ClientRequest;
import lemonrail.lab.scenario.Scenario;

/**
 * Result of one run.
 *
 * @param settings settings of the load balancers
 * @param complete false if the run was interrupted
 * @param violations descriptions of the rules that were violated
 * @param maxOpenConnections maximum number of client connections open at once
 * @param cpuMs processor time of the sidecars in ms, or NaN if they share the lab's process
 */
public record RunResult(
        Scenario scenario,
        Scenario.Variant variant,
        long seed,
        BalancerSettings settings,
        boolean complete,
        List<ClientRequest> requests,
        AttemptRecorder recorder,
        List<Node> nodes,
        List<String> violations,
        Lateness lateness,
        int maxOpenConnections,
        double cpuMs) {

    /** An endpoint, with its work in ms on a core of speed 1 and the most requests that it had at once. */
    public record Node(int tier, String id, double speed, double doneMs, int maxHeld) {}

    /**
     * Lateness of the lab itself, in ms.
     *
     * @param timers99Ms 99th percentile of the lateness of timers
     * @param timersMostMs maximum lateness of timers
     * @param sentMeanMs mean time by which requests were sent late
     * @param sentMostMs maximum time by which a request was sent late
     * @param waited number of requests that found all client connections busy
     */
    public record Lateness(double timers99Ms, double timersMostMs, double sentMeanMs, double sentMostMs, long waited) {

        /** A run is void if the 99th percentile of the lateness of timers exceeds this. */
        public static final double MAX_TIMERS_MS = 10;
        /** A run is void if requests were sent later than this in the mean. */
        public static final double MAX_SENT_MS = 5;

        /** Returns whether the lab was too slow, so that the result does not describe the sidecars. */
        public boolean isVoid() {
            return timers99Ms > MAX_TIMERS_MS || sentMeanMs > MAX_SENT_MS || waited > 0;
        }
    }
}
