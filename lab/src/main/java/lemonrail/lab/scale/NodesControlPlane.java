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
 * A control plane of nodes with the control role, in several regions. They replicate to each other, and each has an
 * event loop of its own in this process. Each list is a service. Sidecars watch the nodes of their region, and the
 * other nodes if those do not respond.
 */
public final class NodesControlPlane implements ControlPlane {

    private static final String DOCUMENT = "base";
    private static final long AWAIT_TIMEOUT_MS = 20_000;
    private static final long POLL_INTERVAL_MS = 5;
    private static final int MAX_RECORDED_CALLS = 16_384;

    /**
     * A watch call of a real sidecar.
     *
     * @param digest the digest that the call names, of the configuration that the sidecar has
     */
    private record RecordedCall(long atNanos, long digest) {}

    private final int regions;
    private final Path folder;
    /** Discards the nodes' logs: the run itself stops and restarts peers, so warnings about them say nothing new. */
    private final LogSink sink = new TextSink(new PrintStream(OutputStream.nullOutputStream()));

    private final List<ControlNode> nodes = new ArrayList<>();
    private final List<EventLoopMonitor> loopMonitors = new ArrayList<>();
    private final List<Traffic> nodeTraffic = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final List<Boolean> isUp = new ArrayList<>();
    /**
     * The traffic of real sidecars by name. The nodes' event loops write to it, so this map is the lock for itself, and
     * also for the contents of nodeTraffic, for callsBySidecar, listsBySidecar and watchCount.
     */
    private final Map<String, Traffic> traffic = new HashMap<>();

    private final Map<String, List<RecordedCall>> callsBySidecar = new HashMap<>();
    /** The name of the list that each real sidecar watches, by the sidecar's name. */
    private final Map<String, String> listsBySidecar = new HashMap<>();
    /** For each list, the sequence number of the last change that a digest includes. */
    private final Map<String, Map<Long, Long>> sequencesByDigest = new HashMap<>();
    /** Changes that were made at a node while it was down; they are applied once all nodes run again. */
    private final List<ConfigurationChange> pendingChanges = new ArrayList<>();

    private final List<Long> settingsAppliedNanos = new ArrayList<>();
    private long lastSequence;
    private int watchCount;

    /** Starts a number of nodes, spread evenly over a number of regions, and waits until all are ready. */
    public NodesControlPlane(int count, int regions) {
        this.regions = regions;
        try {
            folder = Files.createTempDirectory("control");
            for (int i = 0; i < count; i++) {
                ports.add(SidecarHost.freePort().getPort());
                nodes.add(null);
                loopMonitors.add(null);
                nodeTraffic.add(new Traffic());
                isUp.add(false);
            }
            for (int i = 0; i < count; i++) {
                openNode(i, true);
            }
            nodes.get(0).bootstrap();
            await("all control nodes are ready", () -> nodes.stream().allMatch(ControlNode::isReady));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int regionOf(int node) {
        return (int) ((long) node * regions / ports.size());
    }

    private InetSocketAddress address(int node) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(node));
    }

    private ControlConfig.Peer peer(int node) {
        return new ControlConfig.Peer("control-" + node, address(node), "region-" + regionOf(node));
    }

    private void openNode(int i, boolean withoutState) throws IOException {
        List<ControlConfig.Peer> others = new ArrayList<>();
        for (int other = 0; other < ports.size(); other++) {
            if (other != i) {
                others.add(peer(other));
            }
        }
        Path stateFile = folder.resolve("control-" + i + ".control");
        if (withoutState) {
            Files.deleteIfExists(stateFile);
        }
        ControlNode node = ControlNode.create(
                new ControlConfig(
                        "control-" + i,
                        "region-" + regionOf(i),
                        address(i),
                        null,
                        others,
                        ControlConfig.DEFAULT_MAX_WATCHERS,
                        ControlConfig.DEFAULT_RESPONSE_INTERVAL_MS,
                        folder,
                        LogSettings.DEFAULT),
                sink);
        node.open();
        Traffic nodeTotals = nodeTraffic.get(i);
        node.setWatchObserver((watcher, digest, requestBytes, responseBytes) ->
                onWatchCall(nodeTotals, watcher, digest, requestBytes + responseBytes));
        nodes.set(i, node);
        loopMonitors.set(i, new EventLoopMonitor(node.eventLoop()));
        isUp.set(i, true);
    }

    private void onWatchCall(Traffic nodeTotals, String watcher, Long digest, int bytes) {
        synchronized (traffic) {
            nodeTotals.addBytes(bytes);
            if (digest != null) {
                nodeTotals.addCall();
            }
            if (listsBySidecar.containsKey(watcher)) {
                traffic.computeIfAbsent(watcher, name -> new Traffic()).addBytes(bytes);
                if (digest != null) {
                    List<RecordedCall> calls = callsBySidecar.computeIfAbsent(watcher, name -> new ArrayList<>());
                    if (calls.size() < MAX_RECORDED_CALLS) {
                        calls.add(new RecordedCall(System.nanoTime(), digest));
                    }
                }
            }
        }
    }

    private interface Condition {
        boolean isMet();
    }

    private static void await(String description, Condition condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (!condition.isMet()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IllegalStateException("condition not met within " + AWAIT_TIMEOUT_MS + " ms: " + description);
            }
            sleepPollInterval();
        }
    }

    private static void sleepPollInterval() {
        try {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for control nodes", e);
        }
    }

    @Override
    public Optional<String> findUnsupportedReason(Capability capability) {
        return Optional.empty();
    }

    @Override
    public int nodes() {
        return ports.size();
    }

    private ControlClient.Subscription subscription(String name, String listName, int node) {
        List<InetSocketAddress> sameRegion = new ArrayList<>();
        List<InetSocketAddress> others = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            (regionOf(i) == regionOf(node) ? sameRegion : others).add(address(i));
        }
        return new ControlClient.Subscription(name, sameRegion, others, List.of(listName), DOCUMENT, null);
    }

    @Override
    public Watch createWatch(EventLoop loop, EdgeConfig config, EventLog log, long seed, String listName, int node) {
        String name;
        synchronized (traffic) {
            name = "hollow-" + watchCount++;
        }
        ControlClient client =
                new ControlClient(loop, new Clock(), subscription(name, listName, node), config.names(), seed, log);
        client.setSettingsHandler(text -> {
            if (text != null) {
                SettingsDocument.applyOverrides(config.settings(), text);
                synchronized (settingsAppliedNanos) {
                    settingsAppliedNanos.add(System.nanoTime());
                }
            }
            return new SettingsOutcome.Applied();
        });
        return new NodesWatch(client);
    }

    /** The edge's own client. It chooses another node by itself, so it needs no other address. */
    private record NodesWatch(ControlClient client) implements Watch {
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
            client.watch();
        }

        @Override
        public void close() {
            client.close();
        }
    }

    @Override
    public Path writeSidecarConfig(SidecarSpec spec, String listName, int node, String sidecarName) throws IOException {
        synchronized (traffic) {
            listsBySidecar.put(sidecarName, listName);
        }
        ControlClient.Subscription subscription = subscription(sidecarName, listName, node);
        return Files.writeString(spec.directory().resolve("edge.toml"), """
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
                        sidecarName,
                        spec.directory(),
                        formatAddress(spec.address()),
                        quotedAddresses(subscription.regionNodes()),
                        quotedAddresses(subscription.fallbackNodes()),
                        listName,
                        DOCUMENT,
                        spec.zones().stream().map(zone -> "\"" + zone + "\"").collect(Collectors.joining(", ")),
                        spec.balancers()));
    }

    private static String quotedAddresses(List<InetSocketAddress> addresses) {
        return addresses.stream()
                .map(address -> "\"" + formatAddress(address) + "\"")
                .collect(Collectors.joining(", "));
    }

    private static String formatAddress(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    @Override
    public void replaceList(String listName, List<EndpointEntry> entries) {
        apply(0, Map.of(listName, entries));
        await("all control nodes have the same digest", this::haveSameDigest);
    }

    private boolean haveSameDigest() {
        return nodes.stream().map(ControlNode::digest).distinct().count() == 1;
    }

    @Override
    public Applied apply(int node, Map<String, List<EndpointEntry>> changes) {
        long appliedNanos = System.nanoTime();
        long changeSequence = ++lastSequence;
        Map<String, Long> versions = new HashMap<>();
        changes.forEach((listName, entries) -> {
            entries.forEach(entry -> putOrDefer(node, toConfigurationChange(listName, entry)));
            versions.put(listName, changeSequence);
            recordDigest(listName, nodes.get(node), changeSequence);
        });
        return new Applied(appliedNanos, versions);
    }

    private static ConfigurationChange toConfigurationChange(String listName, EndpointEntry entry) {
        return entry.state() == EndpointEntry.State.TERMINATED
                ? ConfigurationChange.removeEndpoint(listName, entry.id())
                : ConfigurationChange.endpoint(
                        listName, entry.id(), entry.toJson().getBytes(StandardCharsets.UTF_8));
    }

    private void putOrDefer(int node, ConfigurationChange change) {
        if (!isUp.get(node)) {
            pendingChanges.add(change);
            return;
        }
        MergeOutcome outcome = nodes.get(node).put(change);
        if (outcome != MergeOutcome.APPLIED && outcome != MergeOutcome.ALREADY_KNOWN) {
            throw new IllegalStateException("control node " + node + " returned " + outcome + " for " + change);
        }
    }

    private void recordDigest(String listName, ControlNode node, long includedSequence) {
        if (isUp.get(nodes.indexOf(node))) {
            long digest = node.digest(List.of(listName, "settings:" + DOCUMENT));
            sequencesByDigest.computeIfAbsent(listName, name -> new HashMap<>()).put(digest, includedSequence);
        }
    }

    @Override
    public List<Double> changeSettings(int node, double timeoutMs) throws InterruptedException {
        synchronized (settingsAppliedNanos) {
            settingsAppliedNanos.clear();
        }
        long startNanos = System.nanoTime();
        nodes.get(node).put(ConfigurationChange.settings(DOCUMENT, "[[classes]]\nname = \"read\"\naim = \"450ms\"\n"));
        String timestamp = nodes.get(node).encodedTimestamp("settings:" + DOCUMENT, DOCUMENT);
        List<Double> delaysMs = new ArrayList<>();
        while (!isAppliedEverywhere(timestamp) && System.nanoTime() - startNanos < timeoutMs * 1e6) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        // The first result is the delay that operators see: until all nodes report that all watchers have applied
        // the settings, which is never before the watchers have applied them.
        delaysMs.add(isAppliedEverywhere(timestamp) ? (System.nanoTime() - startNanos) / 1e6 : Double.NaN);
        synchronized (settingsAppliedNanos) {
            settingsAppliedNanos.forEach(appliedNanos -> delaysMs.add((appliedNanos - startNanos) / 1e6));
        }
        sequencesByDigest.keySet().forEach(listName -> recordDigest(listName, nodes.get(node), lastSequence));
        return delaysMs;
    }

    /** Returns whether each watcher of each node reports that it has applied this document. */
    private boolean isAppliedEverywhere(String timestamp) {
        return nodes.stream().allMatch(node -> {
            return node.status().watchers().documents().stream()
                    .allMatch(document ->
                            timestamp.equals(document.oldestApplied().encode()) && document.rejectionCount() == 0);
        });
    }

    @Override
    public void stopNode(int node) {
        loopMonitors.get(node).close();
        nodes.get(node).stop();
        isUp.set(node, false);
    }

    /**
     * If all nodes are down, the first one that starts keeps its file even without state, because otherwise no copy
     * of the configuration would remain.
     */
    @Override
    public void startNode(int node, boolean withoutState) {
        try {
            openNode(node, withoutState && isUp.contains(true));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (!isUp.contains(false)) {
            await("all control nodes are ready", () -> nodes.stream().allMatch(ControlNode::isReady));
            List<ConfigurationChange> deferred = List.copyOf(pendingChanges);
            pendingChanges.clear();
            deferred.forEach(change -> putOrDefer(0, change));
            sequencesByDigest.keySet().forEach(listName -> recordDigest(listName, nodes.get(0), lastSequence));
        }
    }

    @Override
    public void setPartitioned(int node, int otherNode, boolean partitioned) {
        nodes.get(node).setPartitioned("control-" + otherNode, partitioned);
        nodes.get(otherNode).setPartitioned("control-" + node, partitioned);
    }

    @Override
    public Cost takeCost(int node) {
        EventLoopMonitor.Sample sample =
                isUp.get(node) ? loopMonitors.get(node).takeAndReset() : new EventLoopMonitor.Sample(0, 0, 0);
        synchronized (traffic) {
            Traffic.Totals totals = nodeTraffic.get(node).takeAndReset();
            return new Cost(
                    sample.cpuMs(),
                    sample.lagP99Ms(),
                    sample.maxLagMs(),
                    totals.bytes(),
                    totals.peakPerSecond(),
                    totals.calls());
        }
    }

    @Override
    public Traffic.Totals takeTraffic(String sidecarName) {
        synchronized (traffic) {
            return traffic.computeIfAbsent(sidecarName, name -> new Traffic()).takeAndReset();
        }
    }

    @Override
    public List<WatchCall> takeCalls(String sidecarName) {
        List<RecordedCall> calls;
        String listName;
        synchronized (traffic) {
            calls = callsBySidecar.remove(sidecarName);
            listName = listsBySidecar.get(sidecarName);
        }
        if (calls == null) {
            return List.of();
        }
        if (!isUp.contains(false) && haveSameDigest()) {
            // Changes that were made on both sides of a partition are all in force now.
            recordDigest(listName, nodes.get(0), lastSequence);
        }
        Map<Long, Long> sequences = sequencesByDigest.getOrDefault(listName, Map.of());
        return calls.stream()
                .filter(call -> sequences.containsKey(call.digest()))
                .map(call -> new WatchCall(call.atNanos(), sequences.get(call.digest())))
                .toList();
    }

    @Override
    public void close() {
        for (int i = 0; i < nodes.size(); i++) {
            if (isUp.get(i)) {
                stopNode(i);
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
