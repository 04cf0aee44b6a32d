package lemonrail.lab.scale.path;

import java.util.List;

/**
 * What a run of the data path measures.
 *
 * @param lengthMs each measurement, its warm-up included
 * @param warmUpMs of each measurement, in which its connections are opened
 * @param rounds measurements of each kind, in turn with the others
 * @param warmRate calls a second by which a process is warmed before anything is measured
 * @param warmChunks seconds of that, at least 1; fewer if its processor time has settled before
 * @param rates calls a second to a sidecar, the target's first
 * @param curve calls a second at which processor time is measured, 0 for idle
 * @param batches calls that come at once, at the target's rate: what waking up for each costs
 * @param endpoints numbers of endpoints listed
 * @param connections numbers of client connections, all of them in use
 * @param depth sidecars in a chain
 * @param ramp calls a second, each tried until one is not kept; empty for no search of the maximum
 */
public record PathPlan(
        double lengthMs,
        double warmUpMs,
        int rounds,
        double warmRate,
        int warmChunks,
        List<Integer> rates,
        List<Integer> curve,
        List<Integer> batches,
        List<Integer> endpoints,
        List<Integer> connections,
        int depth,
        List<Integer> ramp) {

    /** Calls a second to a sidecar at the target size: 390,000 over 1,000 sidecars. */
    public static final int TARGET_RATE = 390;

    private static final List<Integer> RAMP = List.of(5000, 7000, 10_000, 14_000, 20_000, 28_000, 40_000, 56_000);

    /** The large form, of three to four minutes. */
    public static PathPlan large(int rounds, double lengthMs, boolean ramp) {
        return new PathPlan(
                lengthMs,
                500,
                rounds,
                3900,
                15,
                List.of(TARGET_RATE, 10 * TARGET_RATE),
                List.of(0, 50, 100, TARGET_RATE, 1000, 10 * TARGET_RATE),
                List.of(1, 10, 30),
                List.of(10, 100, 300, 1000),
                List.of(10, 100, 300, 1000),
                7,
                ramp ? RAMP : List.of());
    }

    /** The small form, of seconds, whose figures say nothing. */
    public static PathPlan small() {
        return new PathPlan(
                400,
                100,
                1,
                200,
                1,
                List.of(100, 200),
                List.of(0, 50, 200),
                List.of(1, 5),
                List.of(2, 4),
                List.of(2, 4),
                2,
                List.of(200, 300));
    }
}
