package lemonrail.lab.scale.path;

import java.util.List;

/**
 * What a run of the data path measures.
 *
 * @param lengthMs duration of each measurement, including its warm-up
 * @param warmUpMs duration of each measurement's warm-up, in which its connections are opened
 * @param rounds number of measurements of each kind, which alternate with those of other kinds
 * @param warmUpRate calls per second with which a process is warmed up before any measurement
 * @param maxWarmUpSeconds maximum duration of that warm-up in seconds, at least 1; it ends earlier once the processor
 *     time per call is stable
 * @param rates calls per second to a sidecar, the target's first
 * @param curve rates in calls per second at which processor time is measured; 0 for idle
 * @param batches numbers of calls that arrive at the same moment, at the target's rate, which show what it costs to
 *     wake up for each call
 * @param endpoints numbers of endpoints listed
 * @param connections numbers of client connections, all of which are used
 * @param depth number of sidecars in a chain
 * @param ramp rates in calls per second, tried in turn until one is not sustained; empty for no search of the
 *     maximum
 */
public record PathPlan(
        double lengthMs,
        double warmUpMs,
        int rounds,
        double warmUpRate,
        int maxWarmUpSeconds,
        List<Integer> rates,
        List<Integer> curve,
        List<Integer> batches,
        List<Integer> endpoints,
        List<Integer> connections,
        int depth,
        List<Integer> ramp) {

    /** Calls per second to a sidecar at the target size: 390,000 over 1,000 sidecars. */
    public static final int TARGET_RATE = 390;

    private static final List<Integer> RAMP = List.of(5000, 7000, 10_000, 14_000, 20_000, 28_000, 40_000, 56_000);

    /** Returns the full plan, which takes three to four minutes. */
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

    /** Returns a small plan, which takes seconds and whose figures are not meaningful. */
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
