package lemonrail.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import lemonrail.logging.LogSettings;

/**
 * The configuration of a control node.
 *
 * @param name the node's name, unique among the nodes of all regions
 * @param region the node's region
 * @param address the address on which sidecars and other nodes watch
 * @param admin the address of the admin API, or null for none
 * @param peers the other nodes
 * @param maxWatchers the maximum number of sidecars that watch at the same time
 * @param responseIntervalMs the minimum time between two responses to one watcher
 * @param stateFolder the folder of the snapshot, which survives restarts, or null for no snapshot
 */
public record ControlConfig(
        String name,
        String region,
        InetSocketAddress address,
        InetSocketAddress admin,
        List<Peer> peers,
        int maxWatchers,
        double responseIntervalMs,
        Path stateFolder,
        LogSettings logging) {

    /** The default value of {@link #maxWatchers}. */
    public static final int DEFAULT_MAX_WATCHERS = 4096;

    /** The default value of {@link #responseIntervalMs}. */
    public static final double DEFAULT_RESPONSE_INTERVAL_MS = 150;

    /** Another control node. */
    public record Peer(String name, InetSocketAddress address, String region) {}

    /** Returns the configuration of a node without peers, admin API and snapshot, for tests. */
    public static ControlConfig of(String name, String region, InetSocketAddress address) {
        return new ControlConfig(
                name,
                region,
                address,
                null,
                List.of(),
                DEFAULT_MAX_WATCHERS,
                DEFAULT_RESPONSE_INTERVAL_MS,
                null,
                LogSettings.DEFAULT);
    }

    /** Returns the path of the snapshot, or null if there is none. */
    public Path snapshotFile() {
        return stateFolder == null ? null : stateFolder.resolve(name + ".control");
    }
}
