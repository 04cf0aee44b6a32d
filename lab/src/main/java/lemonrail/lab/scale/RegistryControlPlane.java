package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import lemonrail.config.EdgeConfig;
import lemonrail.core.WatchSchedule;
import lemonrail.discovery.DiscoveryClient;
import lemonrail.discovery.EndpointListListener;
import lemonrail.logging.EventLog;

/**
 * A control plane that is a single registry. Each sidecar has the registry's one address from its settings file,
 * and settings come from files only.
 */
public final class RegistryControlPlane implements ControlPlane {

    private final RegistryNode node = new RegistryNode("control-0");
    /** The address at which hollow sidecars watch each list. */
    private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();

    private final Map<String, InetSocketAddress> alternateAddresses = new ConcurrentHashMap<>();

    @Override
    public Optional<String> findUnsupportedReason(Capability capability) {
        return Optional.of(
                switch (capability) {
                    case NODE_LOST ->
                        "a sidecar knows one address of discovery; another one takes a file and a "
                                + "SIGHUP at each process, and a whole list";
                    case REGIONS_CUT ->
                        "there is one registry: the region without it hears of no change, its own "
                                + "among them, until the regions hear each other";
                    case SETTINGS ->
                        "settings are a file and a SIGHUP at each process; nobody knows what is in " + "force where";
                });
    }

    @Override
    public int nodes() {
        return 1;
    }

    /** Returns the address at which a group watches a list; its traffic is counted there. */
    InetSocketAddress address(String listName, String group) {
        return node.address(listName, group);
    }

    @Override
    public Watch createWatch(
            EventLoop loop, EdgeConfig config, EventLog log, long seed, String listName, int nodeNumber) {
        return new RegistryWatch(
                new DiscoveryClient(
                        loop,
                        addresses.get(listName),
                        config.names(),
                        config.initialEndpoints().version(),
                        WatchSchedule.ofFleet(
                                config.settings().balancers(),
                                config.settings().drain().graceMs(),
                                seed),
                        log),
                alternateAddresses.get(listName));
    }

    @Override
    public Path writeSidecarConfig(SidecarSpec spec, String listName, int nodeNumber, String group) throws IOException {
        return PlatformConfig.write(
                spec.directory().resolve("config.json"),
                spec.name(),
                spec.address(),
                address(listName, group),
                spec.balancers(),
                spec.zones());
    }

    /** The edge's own client, which can move to a second address of the same list. */
    private record RegistryWatch(DiscoveryClient client, InetSocketAddress otherAddress) implements Watch {
        @Override
        public void setListener(EndpointListListener listener) {
            client.setListener(listener);
        }

        @Override
        public void start() {
            client.watch();
        }

        @Override
        public void moveToOtherAddress() {
            client.moveTo(otherAddress);
        }

        @Override
        public void close() {
            client.close();
        }
    }

    @Override
    public void replaceList(String listName, List<EndpointEntry> entries) {
        node.replaceList(listName, entries);
        addresses.put(listName, node.address(listName, "hollow"));
        alternateAddresses.put(listName, node.address(listName, "elsewhere"));
    }

    @Override
    public Applied apply(int nodeNumber, Map<String, List<EndpointEntry>> changes) {
        return node.apply(changes);
    }

    /** Returns the current entries of a list by id. */
    Map<String, EndpointEntry> entries(String listName) {
        return node.entries(listName);
    }

    @Override
    public void stopNode(int nodeNumber) {
        node.stop();
    }

    @Override
    public void startNode(int nodeNumber, boolean withoutState) {
        node.start(withoutState);
    }

    @Override
    public void setPartitioned(int node, int otherNode, boolean partitioned) {
        throw new IllegalStateException("a single registry cannot be partitioned");
    }

    @Override
    public Cost takeCost(int nodeNumber) {
        return node.takeCost();
    }

    @Override
    public Traffic.Totals takeTraffic(String group) {
        return node.takeTraffic(group);
    }

    @Override
    public List<WatchCall> takeCalls(String group) {
        return node.takeCalls(group);
    }

    @Override
    public void close() {
        node.close();
    }
}
