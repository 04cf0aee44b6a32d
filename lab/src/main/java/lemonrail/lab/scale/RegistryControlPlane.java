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

/** Today's way: one registry, whose one address each sidecar has from its file; settings are files. */
public final class RegistryControlPlane implements ControlPlane {

    private final RegistryNode node = new RegistryNode("control-0");
    /** Where hollow sidecars watch each list, and a second place of the same. */
    private final Map<String, InetSocketAddress> places = new ConcurrentHashMap<>();

    private final Map<String, InetSocketAddress> elsewhere = new ConcurrentHashMap<>();

    @Override
    public Optional<String> missing(Ability ability) {
        return Optional.of(
                switch (ability) {
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

    /** Where a list is watched, and whose traffic is counted there. */
    InetSocketAddress address(String list, String group) {
        return node.address(list, group);
    }

    @Override
    public Watch watch(EventLoop loop, EdgeConfig config, EventLog log, long seed, String list, int at) {
        return new RegistryWatch(
                new DiscoveryClient(
                        loop,
                        places.get(list),
                        config.names(),
                        config.initialEndpoints().version(),
                        WatchSchedule.ofFleet(
                                config.settings().balancers(),
                                config.settings().drain().graceMs(),
                                seed),
                        log),
                elsewhere.get(list));
    }

    @Override
    public Path file(Place place, String list, int at, String group) throws IOException {
        return PlatformConfig.write(
                place.folder().resolve("config.json"),
                place.name(),
                place.listen(),
                address(list, group),
                place.balancers(),
                place.zones());
    }

    /** The edge's own client, at one of two addresses of the list. */
    private record RegistryWatch(DiscoveryClient client, InetSocketAddress other) implements Watch {
        @Override
        public void listen(EndpointListListener listener) {
            client.setListener(listener);
        }

        @Override
        public void watch() {
            client.watch();
        }

        @Override
        public void elsewhere() {
            client.moveTo(other);
        }

        @Override
        public void close() {
            client.close();
        }
    }

    @Override
    public void list(String list, List<EndpointEntry> lines) {
        node.list(list, lines);
        places.put(list, node.address(list, "hollow"));
        elsewhere.put(list, node.address(list, "elsewhere"));
    }

    @Override
    public Applied apply(int at, Map<String, List<EndpointEntry>> changes) {
        return node.apply(changes);
    }

    /** What a list has now. */
    Map<String, EndpointEntry> lines(String list) {
        return node.lines(list);
    }

    @Override
    public void stop(int at) {
        node.stop();
    }

    @Override
    public void start(int at, boolean fromNothing) {
        node.start(fromNothing);
    }

    @Override
    public void cut(int one, int other, boolean apart) {
        throw new IllegalStateException("there is one node");
    }

    @Override
    public Cost cost(int at) {
        return node.cost();
    }

    @Override
    public Traffic.Seen traffic(String group) {
        return node.traffic(group);
    }

    @Override
    public List<Heard> heard(String group) {
        return node.heard(group);
    }

    @Override
    public void close() {
        node.close();
    }
}
