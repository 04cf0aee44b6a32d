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
import lemonrail.core.replication.MergeOutcome;
import lemonrail.logging.LogSettings;
import lemonrail.logging.TextSink;

/** Control nodes on loopback that watch each other. */
final class Nodes implements Closeable {

    private static final long PATIENCE_MS = 20_000;

    final List<ControlNode> all = new ArrayList<>();
    final ByteArrayOutputStream log = new ByteArrayOutputStream();

    static InetSocketAddress anyPort() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    }

    /** One node more, at a free port; it watches nobody yet. */
    ControlNode start(String name, String region) throws IOException {
        return start(name, region, anyPort(), null);
    }

    ControlNode start(String name, String region, InetSocketAddress at, Path folder) throws IOException {
        ControlNode node = ControlNode.create(
                new ControlConfig(
                        name,
                        region,
                        at,
                        anyPort(),
                        List.of(),
                        ControlConfig.DEFAULT_MAX_WATCHERS,
                        ControlConfig.DEFAULT_RESPONSE_INTERVAL_MS,
                        folder,
                        LogSettings.DEFAULT),
                new TextSink(new PrintStream(log, true, StandardCharsets.UTF_8)));
        node.open();
        all.add(node);
        return node;
    }

    /** Each watches each other one, and the first begins. */
    Nodes join() throws InterruptedException {
        all.get(0).begin();
        for (ControlNode node : all) {
            for (ControlNode other : all) {
                if (node != other) {
                    node.watch(other.asPeer());
                }
            }
        }
        await("all are ready", () -> all.stream().allMatch(ControlNode::isReady));
        return this;
    }

    static Nodes of(String... names) throws IOException, InterruptedException {
        Nodes nodes = new Nodes();
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

    /** Waits until these nodes hold the same. */
    void awaitEqual(String... names) throws InterruptedException {
        await(
                "all hold the same",
                () -> List.of(names).stream()
                                .map(name -> node(name).digest())
                                .distinct()
                                .count()
                        == 1);
    }

    void awaitState(String node, String service, String id, String state) throws InterruptedException {
        await(node + " has heard that " + id + " is " + state, () -> {
            String body = node(node).get(service, id);
            return body != null && body.contains("\"" + state + "\"");
        });
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + PATIENCE_MS * 1_000_000;
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(2);
        }
    }

    @Override
    public void close() {
        all.forEach(ControlNode::stop);
    }
}
