package lemonrail.lab.scale;

import java.nio.file.Path;
import java.util.List;

/**
 * A scenario of a scale run.
 *
 * @param name the name of its file without the extension
 * @param sidecars how sidecars are run
 * @param targets the limits that have to be met
 * @param slopes what is varied for the slopes, or null if none are measured
 */
public record ScaleScenario(
        String name,
        Path file,
        String about,
        Site site,
        Sidecars sidecars,
        Targets targets,
        Slopes slopes,
        List<Storm> storms) {

    /**
     * How sidecars are run.
     *
     * @param realCount sidecars that are processes of their own; the others are hollow
     * @param loops event loops that the hollow sidecars share
     * @param warmUpMs duration of changes at a high rate before the first storm, so that the JIT compiler finishes
     * @param idleMs duration without changes after that, which shows the cost without them
     */
    public record Sidecars(int realCount, int loops, long seed, double warmUpMs, double idleMs) {}

    /**
     * The limits that have to be met.
     *
     * @param maxPropagationMs the time within which a change must be in force everywhere
     * @param maxCorePercent processor time that control may cost a sidecar, in percent of one core
     * @param maxMemoryMb memory that control may cost a sidecar
     * @param maxKilobytesPerS traffic that control may cost a sidecar
     */
    public record Targets(
            double maxPropagationMs, double maxCorePercent, double maxMemoryMb, double maxKilobytesPerS) {}

    /**
     * The values for which costs are measured.
     *
     * @param listSizes numbers of endpoints in a list
     * @param changesPerS rates of changes, in ascending order
     * @param watcherCounts numbers of watchers of one control node
     * @param sidecarsPerListSize number of real sidecars for each list size
     * @param initialWarmUpMs duration of load before the first point, so that the JIT compiler finishes
     * @param warmUpMs duration of load before each point
     * @param windowMs duration of the measurement of a point
     */
    public record Slopes(
            List<Integer> listSizes,
            List<Double> changesPerS,
            List<Integer> watcherCounts,
            int sidecarsPerListSize,
            double initialWarmUpMs,
            double warmUpMs,
            double windowMs) {}

    /** What happens to the control plane or the site. */
    public enum Kind {
        /** One endpoint's entry changes, several times in succession. */
        CHANGE,
        /** A day's changes, made in a shorter time. */
        DAY,
        /** The endpoints of one service are replaced one after another. */
        RELEASE,
        /** One endpoint and its sidecar fail and return. */
        MACHINE,
        /** All endpoints of a rack and their sidecars fail and return. */
        RACK,
        /** All endpoints of a zone and their sidecars fail and return. */
        ZONE,
        /** All endpoints of a region and their sidecars fail and return. */
        REGION,
        /** The settings of all sidecars change. */
        SETTINGS,
        /** A control node fails, and its watchers continue at another node. */
        NODE_LOST,
        /** The control plane is down for a while, and returns with its state. */
        CONTROL_DOWN,
        /**
         * The control plane is down for a while, and returns with versions that begin anew, so that all sidecars
         * need a full snapshot at once.
         */
        CONTROL_RESTART,
        /** The regions are partitioned for a while, and changes are made on both sides. */
        REGIONS_CUT
    }

    /** The endpoints that a sidecar's list contains. */
    public enum EndpointScope {
        /** All endpoints of the site. */
        ALL,
        /** The endpoints of one service. */
        SERVICE
    }

    /**
     * A storm: one event to which the control plane is exposed.
     *
     * @param changeCount the number of changes, for kinds of storm where it can be chosen
     * @param lengthMs the time over which the changes are made, or for which the control plane is down
     */
    public record Storm(Kind kind, EndpointScope scope, int changeCount, double lengthMs) {}
}
