package lemonrail.lab.scale;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import lemonrail.config.ControlConfig;
import lemonrail.config.EdgeConfig;
import lemonrail.config.SettingsDocument;
import lemonrail.control.ConfigurationChange;
import lemonrail.control.ControlNode;
import lemonrail.core.replication.MergeOutcome;
import lemonrail.discovery.ControlClient;
import lemonrail.discovery.EndpointListListener;
import lemonrail.discovery.SettingsOutcome;
import lemonrail.lab.host.SidecarHost;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSettings;
import lemonrail.logging.LogSink;
import lemonrail.logging.TextSink;
import lemonrail.time.Clock;

/**
 * The control role: nodes in two regions that watch each other, on loops of their own in this process. A list
 * is a service; sidecars watch at the nodes of their region, and at the others where those don't answer.
 */
public final class NodesControlPlane implements ControlPlane {

    private static final String DOCUMENT = "base";
    private static final long PATIENCE_MS = 20_000;
    private static final long LOOK_MS = 5;
    private static final int MOST_HEARD = 16_384;

    /** A call of a real sidecar, by the digest that it told. */
    private record Asked(long atNanos, long digest) {}

    private final int regions;
    private final Path folder;
    /** What nodes say of each other's coming and going is the run's own doing. */
    private final LogSink sink = new TextSink(new PrintStream(OutputStream.nullOutputStream()));

    private final List<ControlNode> nodes = new ArrayList<>();
    private final List<LoopWatch> loops = new ArrayList<>();
    private final List<Traffic> nodeTraffic = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Boolean> up = new ArrayList<>();
    /** Guarded by itself, as nodes' loops write to it: by the sidecar's name. */
    private final Map<String, Traffic> traffic = new HashMap<>();

    private final Map<String, List<Asked>> asked = new HashMap<>();
    /** By the real sidecar's name: the list that it watches. */
    private final Map<String, String> lists = new HashMap<>();
    /** The sequence of words on each list, by the digest that holds once they are in. */
    private final Map<String, Map<Long, Long>> sequences = new HashMap<>();
    /** What was to be said at a node that was down. */
    private final List<ConfigurationChange> unsaid = new ArrayList<>();

    private final List<Long> settingsTold = new ArrayList<>();
    private long sequence;
    private int watches;

    /** So many nodes, spread evenly over so many regions. */
    public NodesControlPlane(int count, int regions) {
        this.regions = regions;
        try {
            folder = Files.createTempDirectory("control");
            for (int i = 0; i < count; i++) {
                ports.add(SidecarHost.freePort().getPort());
                nodes.add(null);
                loops.add(null);
                nodeTraffic.add(new Traffic());
                up.add(false);
            }
            for (int i = 0; i < count; i++) {
                open(i, true);
            }
            nodes.get(0).bootstrap();
            await("all nodes are ready", () -> nodes.stream().allMatch(ControlNode::isReady));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int region(int node) {
        return (int) ((long) node * regions / ports.size());
    }

    private InetSocketAddress at(int node) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(node));
    }

    private ControlConfig.Peer peer(int node) {
        return new ControlConfig.Peer("control-" + node, at(node), "region-" + region(node));
    }

    private void open(int i, boolean fromNothing) throws IOException {
        List<ControlConfig.Peer> others = new ArrayList<>();
        for (int other = 0; other < ports.size(); other++) {
            if (other != i) {
                others.add(peer(other));
            }
        }
        Path kept = folder.resolve("control-" + i + ".control");
        if (fromNothing) {
            Files.deleteIfExists(kept);
        }
        ControlNode node = ControlNode.create(
                new ControlConfig(
                        "control-" + i,
                        "region-" + region(i),
                        at(i),
                        null,
                        others,
                        ControlConfig.DEFAULT_MAX_WATCHERS,
                        ControlConfig.DEFAULT_RESPONSE_INTERVAL_MS,
                        folder,
                        LogSettings.DEFAULT),
                sink);
        node.open();
        Traffic own = nodeTraffic.get(i);
        node.setWatchObserver((watcher, digest, called, answered) -> saw(own, watcher, digest, called + answered));
        nodes.set(i, node);
        loops.set(i, new LoopWatch(node.eventLoop()));
        up.set(i, true);
    }

    private void saw(Traffic node, String watcher, Long digest, int bytes) {
        synchronized (traffic) {
            node.add(bytes);
            if (digest != null) {
                node.called();
            }
            if (lists.containsKey(watcher)) {
                traffic.computeIfAbsent(watcher, name -> new Traffic()).add(bytes);
                if (digest != null) {
                    List<Asked> calls = asked.computeIfAbsent(watcher, name -> new ArrayList<>());
                    if (calls.size() < MOST_HEARD) {
                        calls.add(new Asked(System.nanoTime(), digest));
                    }
                }
            }
        }
    }

    private interface Condition {
        boolean holds();
    }

    private static void await(String what, Condition condition) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
        while (!condition.holds()) {
            if (System.nanoTime() > until) {
                throw new IllegalStateException("not within " + PATIENCE_MS + " ms: " + what);
            }
            rest();
        }
    }

    private static void rest() {
        try {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    @Override
    public Optional<String> missing(Ability ability) {
        return Optional.empty();
    }

    @Override
    public int nodes() {
        return ports.size();
    }

    private ControlClient.Subscription plan(String name, String list, int node) {
        List<InetSocketAddress> own = new ArrayList<>();
        List<InetSocketAddress> others = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            (region(i) == region(node) ? own : others).add(at(i));
        }
        return new ControlClient.Subscription(name, own, others, List.of(list), DOCUMENT, null);
    }

    @Override
    public Watch watch(EventLoop loop, EdgeConfig config, EventLog log, long seed, String list, int node) {
        String name;
        synchronized (traffic) {
            name = "hollow-" + watches++;
        }
        ControlClient client = new ControlClient(loop, new Clock(), plan(name, list, node), config.names(), seed, log);
        client.setSettingsHandler(text -> {
            if (text != null) {
                SettingsDocument.applyOverrides(config.settings(), text);
                synchronized (settingsTold) {
                    settingsTold.add(System.nanoTime());
                }
            }
            return new SettingsOutcome.Applied();
        });
        return new NodesWatch(client);
    }

    /** The edge's own client; it needs no word of where else to go. */
    private record NodesWatch(ControlClient client) implements Watch {
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
            client.watch();
        }

        @Override
        public void close() {
            client.close();
        }
    }

    @Override
    public Path file(Place place, String list, int node, String group) throws IOException {
        synchronized (traffic) {
            lists.put(group, list);
        }
        ControlClient.Subscription plan = plan(group, list, node);
        return Files.writeString(place.folder().resolve("edge.toml"), """
            name = "%s"
            state-dir = "%s"
            [[listeners]]
            address = "%s"
            [discovery]
            addresses = [%s]
            fallback-addresses = [%s]
            services = ["%s"]
            settings = "%s"
            [fleet]
            zones = [%s]
            [balancing]
            balancers = %d
            [logging]
            format = "plain"
            [[classes]]
            name = "read"
            effect = "repeatable"
            aim = "500ms"
            deadline = "2s"
            [[classes]]
            name = "order"
            aim = "800ms"
            deadline = "3s"
            worth = 4
            """.formatted(
                        group,
                        place.folder(),
                        text(place.listen()),
                        texts(plan.regionNodes()),
                        texts(plan.fallbackNodes()),
                        list,
                        DOCUMENT,
                        place.zones().stream().map(zone -> "\"" + zone + "\"").collect(Collectors.joining(", ")),
                        place.balancers()));
    }

    private static String texts(List<InetSocketAddress> addresses) {
        return addresses.stream().map(each -> "\"" + text(each) + "\"").collect(Collectors.joining(", "));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void list(String list, List<EndpointEntry> lines) {
        apply(0, Map.of(list, lines));
        await("all nodes have the list", this::agree);
    }

    private boolean agree() {
        return nodes.stream().map(ControlNode::digest).distinct().count() == 1;
    }

    @Override
    public Applied apply(int node, Map<String, List<EndpointEntry>> changes) {
        long at = System.nanoTime();
        long next = ++sequence;
        Map<String, Long> versions = new HashMap<>();
        changes.forEach((list, lines) -> {
            lines.forEach(line -> say(node, change(list, line)));
            versions.put(list, next);
            learn(list, nodes.get(node), next);
        });
        return new Applied(at, versions);
    }

    private static ConfigurationChange change(String list, EndpointEntry line) {
        return line.state() == EndpointEntry.State.TERMINATED
                ? ConfigurationChange.removeEndpoint(list, line.id())
                : ConfigurationChange.endpoint(list, line.id(), line.json().getBytes(StandardCharsets.UTF_8));
    }

    private void say(int node, ConfigurationChange change) {
        if (!up.get(node)) {
            unsaid.add(change);
            return;
        }
        MergeOutcome outcome = nodes.get(node).put(change);
        if (outcome != MergeOutcome.APPLIED && outcome != MergeOutcome.ALREADY_KNOWN) {
            throw new IllegalStateException("node " + node + " says " + outcome + " to " + change);
        }
    }

    private void learn(String list, ControlNode node, long upTo) {
        if (up.get(nodes.indexOf(node))) {
            long digest = node.digest(List.of(list, "settings:" + DOCUMENT));
            sequences.computeIfAbsent(list, name -> new HashMap<>()).put(digest, upTo);
        }
    }

    @Override
    public List<Double> settings(int node, double mostMs) throws InterruptedException {
        synchronized (settingsTold) {
            settingsTold.clear();
        }
        long began = System.nanoTime();
        nodes.get(node).put(ConfigurationChange.settings(DOCUMENT, "[[classes]]\nname = \"read\"\naim = \"450ms\"\n"));
        String stamp = nodes.get(node).encodedTimestamp("settings:" + DOCUMENT, DOCUMENT);
        List<Double> tookMs = new ArrayList<>();
        while (!inForce(stamp) && System.nanoTime() - began < mostMs * 1e6) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MS);
        }
        // The last of all, as the operators see it: told to the nodes, and no sooner than it was in force.
        tookMs.add(inForce(stamp) ? (System.nanoTime() - began) / 1e6 : Double.NaN);
        synchronized (settingsTold) {
            settingsTold.forEach(at -> tookMs.add((at - began) / 1e6));
        }
        sequences.keySet().forEach(list -> learn(list, nodes.get(node), sequence));
        return tookMs;
    }

    /** Whether each watcher at each node has said that it has this document in force. */
    private boolean inForce(String stamp) {
        return nodes.stream().allMatch(node -> {
            return node.status().watchers().documents().stream()
                    .allMatch(document ->
                            stamp.equals(document.oldestApplied().encode()) && document.rejectionCount() == 0);
        });
    }

    @Override
    public void stop(int node) {
        loops.get(node).close();
        nodes.get(node).stop();
        up.set(node, false);
    }

    /** Where all are down and nothing is kept, the first that is back has its file: it is all there is. */
    @Override
    public void start(int node, boolean fromNothing) {
        try {
            open(node, fromNothing && up.contains(true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (!up.contains(false)) {
            await("all nodes are ready", () -> nodes.stream().allMatch(ControlNode::isReady));
            List<ConfigurationChange> late = List.copyOf(unsaid);
            unsaid.clear();
            late.forEach(change -> say(0, change));
            sequences.keySet().forEach(list -> learn(list, nodes.get(0), sequence));
        }
    }

    @Override
    public void cut(int one, int other, boolean apart) {
        nodes.get(one).setPartitioned("control-" + other, apart);
        nodes.get(other).setPartitioned("control-" + one, apart);
    }

    @Override
    public Cost cost(int node) {
        LoopWatch.Seen seen = up.get(node) ? loops.get(node).take() : new LoopWatch.Seen(0, 0, 0);
        synchronized (traffic) {
            Traffic.Seen passed = nodeTraffic.get(node).take();
            return new Cost(
                    seen.cpuMs(),
                    seen.lagP99Ms(),
                    seen.lagMostMs(),
                    passed.bytes(),
                    passed.peakPerSecond(),
                    passed.calls());
        }
    }

    @Override
    public Traffic.Seen traffic(String group) {
        synchronized (traffic) {
            return traffic.computeIfAbsent(group, name -> new Traffic()).take();
        }
    }

    @Override
    public List<Heard> heard(String group) {
        List<Asked> calls;
        String list;
        synchronized (traffic) {
            calls = asked.remove(group);
            list = lists.get(group);
        }
        if (calls == null) {
            return List.of();
        }
        if (!up.contains(false) && agree()) {
            // What was said on both sides of a cut is in force together now.
            learn(list, nodes.get(0), sequence);
        }
        Map<Long, Long> known = sequences.getOrDefault(list, Map.of());
        return calls.stream()
                .filter(call -> known.containsKey(call.digest()))
                .map(call -> new Heard(call.atNanos(), known.get(call.digest())))
                .toList();
    }

    @Override
    public void close() {
        for (int i = 0; i < nodes.size(); i++) {
            if (up.get(i)) {
                stop(i);
            }
        }
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
