package lemonrail.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import lemonrail.logging.LogSettings;

/**
 * The configuration of a control node.
 *
 * @param name unique among all nodes of all regions
 * @param region the one that the node is in
 * @param address where sidecars and other nodes watch
 * @param admin the address of the admin API, or null for none
 * @param peers the other nodes
 * @param maxWatchers the most sidecars that watch at once
 * @param responseIntervalMs the least time between two responses to one watcher
 * @param folder of the snapshot, which outlives the process, or null for none
 */
public record ControlConfig(
        String name,
        String region,
        InetSocketAddress address,
        InetSocketAddress admin,
        List<Peer> peers,
        int maxWatchers,
        double responseIntervalMs,
        Path folder,
        LogSettings logging) {

    /** The default of {@link #maxWatchers}. */
    public static final int DEFAULT_MAX_WATCHERS = 4096;

    /** The default of {@link #responseIntervalMs}. */
    public static final double DEFAULT_RESPONSE_INTERVAL_MS = 150;

    /** Another control node. */
    public record Peer(String name, InetSocketAddress address, String region) {}

    /** Returns the configuration of a node without peers, admin API and snapshot, as tests need it. */
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

    /** Returns the path of the snapshot, or null for none. */
    public Path snapshotFile() {
        return folder == null ? null : folder.resolve(name + ".control");
    }
}
