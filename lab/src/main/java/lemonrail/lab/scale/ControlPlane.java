package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemonrail.config.EdgeConfig;
import lemonrail.discovery.EndpointListListener;
import lemonrail.logging.EventLog;

/**
 * A control plane, which sends endpoint lists to sidecars: either a single registry or the nodes of the control
 * role. Storms are played against it. If it lacks a capability that a storm needs, it says why, and the storm's row
 * shows this. All calls come from one thread, which is not one of the control plane's own.
 */
public interface ControlPlane extends AutoCloseable {

    /** What a storm may need beyond changes of endpoints. */
    enum Capability {
        /** Watchers of a lost node continue at another node by themselves. */
        NODE_LOST,
        /**
         * Regions that are partitioned continue to work, and their changes are merged once they can reach each
         * other again.
         */
        REGIONS_CUT,
        /** The control plane sends settings to sidecars as it sends endpoint lists. */
        SETTINGS
    }

    /**
     * A change that the control plane has accepted.
     *
     * @param atNanos when it was made, by {@link System#nanoTime}
     * @param versions each changed list by name, with the first version that includes the change, as the watch
     *     calls of sidecars name it
     */
    record Applied(long atNanos, Map<String, Long> versions) {
        /** Returns whether a sidecar that requests changes since this version of a list has the change already. */
        public boolean isIncludedIn(String listName, long version) {
            return versions.containsKey(listName) && version >= versions.get(listName);
        }
    }

    /**
     * What a node has used since the last measurement.
     *
     * @param lagP99Ms how late its event loop was, at the 99th percentile
     * @param bytes payload in both directions
     * @param peakBytesPerS payload in the busiest second
     * @param calls the number of watch calls
     */
    record Cost(double cpuMs, double lagP99Ms, double maxLagMs, long bytes, long peakBytesPerS, long calls) {}

    /** Returns why this control plane lacks a capability, or empty if it has it. */
    Optional<String> findUnsupportedReason(Capability capability);

    /** Returns the number of nodes. */
    int nodes();

    /**
     * Creates a hollow sidecar's watch of a list, with the client that a real sidecar uses for this control plane.
     * To be called on the sidecar's event loop.
     *
     * @param config the sidecar's settings, as the production code has parsed them
     * @param node the node to watch first
     */
    Watch createWatch(EventLoop loop, EdgeConfig config, EventLog log, long seed, String listName, int node);

    /** The watch of a hollow sidecar. To be used on the sidecar's event loop. */
    interface Watch {
        /** Sets the listener for endpoint lists. */
        void setListener(EndpointListListener listener);

        /** Starts the watch; a running watch continues. */
        void start();

        /** Continues at another address of the same control plane, as after a reload of the settings. */
        void moveToOtherAddress();

        /** Ends the watch; it cannot be started again. */
        void close();
    }

    /**
     * Writes the settings file of a real sidecar that watches a list, and returns the file.
     *
     * @param spec the sidecar's directory, name, address and zones
     * @param group the name under which this sidecar's traffic and watch calls are counted
     */
    Path writeSidecarConfig(SidecarSpec spec, String listName, int node, String group) throws IOException;

    /**
     * The properties of a real sidecar.
     *
     * @param directory for its settings, log and state
     * @param address at which its callers connect
     * @param balancers the number of sidecars that watch the same list, which determines how often each calls
     */
    record SidecarSpec(Path directory, String name, InetSocketAddress address, int balancers, List<String> zones) {}

    /** Replaces all entries of a list. */
    void replaceList(String listName, List<EndpointEntry> entries);

    /** Applies changes to several lists at once, at a node. All changes of a list get the same version. */
    Applied apply(int node, Map<String, List<EndpointEntry>> changes);

    /**
     * Changes settings at a node. Returns how long it took until they were in force, in ms, first for all sidecars
     * and then for each; NaN for those that did not apply them before the timeout.
     */
    default List<Double> changeSettings(int node, double timeoutMs) throws InterruptedException {
        throw new IllegalStateException("this control plane does not distribute settings");
    }

    /** Stops a node as if its process had ended: it cannot be reached until it is started again. */
    void stopNode(int node);

    /**
     * Starts a stopped node.
     *
     * @param withoutState whether it has lost its state, so that versions begin anew
     */
    void startNode(int node, boolean withoutState);

    /** Partitions two nodes from each other, or ends the partition. */
    void setPartitioned(int node, int otherNode, boolean partitioned);

    /** Returns what a node has used since the last call. */
    Cost takeCost(int node);

    /** Returns the traffic of a group's connections since the last call, over all nodes. */
    Traffic.Totals takeTraffic(String group);

    /**
     * Returns the watch calls of a group's sidecar since the last call. The version that a call names shows what
     * the sidecar has applied.
     */
    List<WatchCall> takeCalls(String group);

    /**
     * A watch call.
     *
     * @param version the version since which the sidecar requested changes
     */
    record WatchCall(long atNanos, long version) {}

    @Override
    void close();
}
