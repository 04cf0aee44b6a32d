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
 * What tells sidecars of endpoints: today one registry, or the nodes of a control role. Storms are played
 * against this; what a way cannot carry it says, and the storm's row says so too. All calls come from one
 * thread, which is none of the plane's own.
 */
public interface ControlPlane extends AutoCloseable {

    /** What a storm may ask for beyond changes. */
    enum Ability {
        /** Watchers of a node that is lost go on at another by themselves. */
        NODE_LOST,
        /** Regions that are cut go on by themselves, and are merged once they hear each other. */
        REGIONS_CUT,
        /** Settings reach sidecars as lists do. */
        SETTINGS
    }

    /**
     * A change that has been taken.
     *
     * @param atNanos when, by the monotonic clock
     * @param versions each list that it changes, and the version from which on it is in, as the calls of
     *     sidecars have it
     */
    record Applied(long atNanos, Map<String, Long> versions) {
        /** Whether a sidecar that asks on from this version of a list has the change. */
        public boolean isIn(String list, long version) {
            return versions.containsKey(list) && version >= versions.get(list);
        }
    }

    /**
     * What a node has cost since it was last asked.
     *
     * @param peakBytesPerS payload both ways, the most within one second
     */
    record Cost(double cpuMs, double lagP99Ms, double lagMostMs, long bytes, long peakBytesPerS, long calls) {}

    /** Why it cannot do this, or empty where it can. */
    Optional<String> missing(Ability ability);

    /** How many nodes there are. */
    int nodes();

    /**
     * A hollow sidecar's watch of a list, by the real client of this way; to be opened on its loop.
     *
     * @param node at which it begins
     * @param config what the sidecar was told, by the real reader
     */
    Watch watch(EventLoop loop, EdgeConfig config, EventLog log, long seed, String list, int node);

    /** The watch of a hollow sidecar; used on its loop. */
    interface Watch {
        /** Who hears of lists. */
        void listen(EndpointListListener listener);

        /** Starts it; one that is on goes on. */
        void watch();

        /** Goes on at another place of this way, as a reload has it. */
        void elsewhere();

        /** Ends it for good. */
        void close();
    }

    /**
     * Writes the file of a real sidecar that watches a list.
     *
     * @param place where its files go, how it is called and where it listens
     * @param group whose traffic is counted apart, and who is heard apart
     */
    Path file(Place place, String list, int node, String group) throws IOException;

    /**
     * Of a real sidecar.
     *
     * @param balancers how many watch the same list, which is what it paces its calls by
     */
    record Place(Path folder, String name, InetSocketAddress listen, int balancers, List<String> zones) {}

    /** Takes a list as a whole, from nothing. */
    void list(String list, List<EndpointEntry> lines);

    /** Takes changes to several lists at once, at a node; those of one list get one version. */
    Applied apply(int node, Map<String, List<EndpointEntry>> changes);

    /**
     * Changes settings at a node; how long it took until they were in force at each sidecar, in ms, NaN where
     * they were not within the time given.
     */
    default List<Double> settings(int node, double mostMs) throws InterruptedException {
        throw new IllegalStateException("settings don't come by this way");
    }

    /** A node's process goes: nobody can reach it until it is back. */
    void stop(int node);

    /** A node is back, with what it knew or with versions that begin anew. */
    void start(int node, boolean fromNothing);

    /** Two nodes cannot hear each other from now on, or can again. */
    void cut(int one, int other, boolean apart);

    /** What a node has cost since it was last asked. */
    Cost cost(int node);

    /** What this group's connections have carried since they were last asked, over all nodes. */
    Traffic.Seen traffic(String group);

    /** The version that this group's sidecar has asked on from, which tells that it has taken it in. */
    List<Heard> heard(String group);

    /** A call that asked on from a version. */
    record Heard(long atNanos, long version) {}

    @Override
    void close();
}
