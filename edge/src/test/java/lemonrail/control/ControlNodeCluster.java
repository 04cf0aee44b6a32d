package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import lemonrail.config.ControlConfig;
import lemonrail.config.ControlConfig.Peer;
import lemonrail.core.replication.MergeOutcome;
import lemonrail.logging.LogSettings;
import lemonrail.logging.LogSink;
import lemonrail.logging.TextSink;

/** A cluster of control nodes on the loopback interface that replicate from each other. */
final class ControlNodeCluster implements Closeable {

    private static final long TIMEOUT_MS = 20_000;

    final List<ControlNode> all = new ArrayList<>();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();

    static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** Starts a node without peers on a free port. */
    ControlNode start(String name, String region) throws IOException {
        return start(name, region, anyPort(), null);
    }

    ControlNode start(String name, String region, InetSocketAddress address, Path folder) throws IOException {
        LogSink sink = new TextSink(new PrintStream(log, true, StandardCharsets.UTF_8));
        ControlNode node = ControlNode.create(config(name, region, address, anyPort(), List.of(), folder), sink);
        node.open();
        all.add(node);
        return node;
    }

    /** Creates, but does not open, a node in the region "west" with these initial peers and without an admin API. */
    ControlNode createWithPeers(String name, InetSocketAddress address, Path folder, List<Peer> peers) {
        ControlNode node =
                ControlNode.create(config(name, "west", address, null, peers, folder), new TextSink(System.err));
        all.add(node);
        return node;
    }

    private static ControlConfig config(
            String name,
            String region,
            InetSocketAddress address,
            InetSocketAddress admin,
            List<Peer> peers,
            Path folder) {
        return new ControlConfig(
                name,
                region,
                address,
                admin,
                peers,
                ControlConfig.DEFAULT_MAX_WATCHERS,
                ControlConfig.DEFAULT_RESPONSE_INTERVAL_MS,
                folder,
                LogSettings.DEFAULT);
    }

    /** Bootstraps the first node, makes all nodes peers of each other and waits until they are ready. */
    ControlNodeCluster join() throws InterruptedException {
        all.get(0).bootstrap();
        for (ControlNode node : all) {
            for (ControlNode other : all) {
                if (node != other) {
                    node.addPeer(other.asPeer());
                }
            }
        }
        await("all nodes are ready", () -> all.stream().allMatch(ControlNode::isReady));
        return this;
    }

    static ControlNodeCluster of(String... names) throws IOException, InterruptedException {
        ControlNodeCluster nodes = new ControlNodeCluster();
        for (String name : names) {
            nodes.start(name, name.startsWith("e") ? "east" : "west");
        }
        return nodes.join();
    }

    ControlNode node(String name) {
        return all.stream()
                .filter(node -> node.name().equals(name))
                .reduce((first, last) -> last)
                .get();
    }

    void put(String node, String service, String id, String state) {
        assertEquals(
                MergeOutcome.APPLIED,
                node(node)
                        .put(ConfigurationChange.endpoint(
                                service,
                                id,
                                ("{\"addr\":\"10.0.0.1:9000\","
                                                + "\"zone\":\"a\",\"kind\":\"m2\",\"cell\":3,\"state\":\"" + state
                                                + "\"}")
                                        .getBytes(StandardCharsets.UTF_8))));
    }

    /** Waits until the digests of these nodes are equal. */
    void awaitEqual(String... names) throws InterruptedException {
        await(
                "all nodes have equal entries",
                () -> List.of(names).stream()
                                .map(name -> node(name).digest())
                                .distinct()
                                .count()
                        == 1);
    }

    void awaitState(String node, String service, String id, String state) throws InterruptedException {
        await(node + " has received the change: " + id + " is " + state, () -> {
            String body = node(node).liveBody(service, id);
            return body != null && body.contains("\"" + state + "\"");
        });
    }

    static void await(String expectation, BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + TIMEOUT_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNs, expectation);
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        all.forEach(ControlNode::stop);
    }
}
