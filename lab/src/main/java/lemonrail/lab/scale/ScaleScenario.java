package lemonrail.lab.scale;

import java.nio.file.Path;
import java.util.List;

/**
 * A scale run as its file has it.
 *
 * @param name the file's, without its ending
 * @param sidecars how they are played
 * @param slopes what is varied, or null where there are none
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
     * How sidecars are played.
     *
     * @param real of them, processes of their own; the others are hollow
     * @param loops event loops among which the hollow ones are dealt out
     * @param warmUpMs changes at a high rate before the first storm, for the compiler
     * @param idleMs without changes after that, which shows what there is without any
     */
    public record Sidecars(int real, int loops, long seed, double warmUpMs, double idleMs) {}

    /**
     * What must hold.
     *
     * @param inForceMs a change must be in force everywhere within this time
     * @param corePercent of one core, that control may cost a sidecar
     * @param memoryMb that control may cost a sidecar
     * @param kilobytesPerS that control may cost a sidecar
     */
    public record Targets(double inForceMs, double corePercent, double memoryMb, double kilobytesPerS) {}

    /**
     * What costs are measured against.
     *
     * @param listed endpoints listed
     * @param changes a second
     * @param watchers of one control node
     * @param perSize real sidecars for each number of endpoints listed
     * @param heatMs load before the first point, for the compiler
     */
    public record Slopes(
            List<Integer> listed,
            List<Double> changes,
            List<Integer> watchers,
            int perSize,
            double heatMs,
            double warmUpMs,
            double windowMs) {}

    /** What befalls control or the site. */
    public enum Kind {
        /** One endpoint's entry changes, a few times, one after another. */
        CHANGE,
        /** The day's changes, compressed. */
        DAY,
        /** The endpoints of one service are replaced in steps. */
        RELEASE,
        /** One endpoint and its sidecar are lost, and come back. */
        MACHINE,
        /** The same for a rack. */
        RACK,
        /** The same for a zone. */
        ZONE,
        /** The same for a region. */
        REGION,
        /** Settings change at each sidecar. */
        SETTINGS,
        /** A control node is lost, and its watchers go elsewhere. */
        NODE_LOST,
        /** No control for a while, then it is back with what it knew. */
        CONTROL_DOWN,
        /** The same, but versions begin anew: all need the whole list at once. */
        CONTROL_RESTART,
        /** The regions don't hear each other for a while, and things change on both sides. */
        REGIONS_CUT
    }

    /** How many endpoints a sidecar is told of. */
    public enum Listed {
        /** All of the site. */
        ALL,
        /** Those of one service. */
        SERVICE
    }

    /**
     * One storm.
     *
     * @param changes how many there are, where the kind lets one choose
     * @param lengthMs over which they come, or for how long control is away
     */
    public record Storm(Kind kind, Listed listed, int changes, double lengthMs) {}
}
