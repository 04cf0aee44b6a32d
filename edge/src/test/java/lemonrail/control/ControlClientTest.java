package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import lemonrail.core.balancer.EndpointState;
import lemonrail.discovery.ControlClient;
import lemonrail.discovery.EndpointList;
import lemonrail.discovery.SettingsOutcome;
import lemonrail.json.Json;
import lemonrail.logging.EventLog;
import lemonrail.logging.TextSink;
import lemonrail.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests a sidecar's watch of a cluster of control nodes, on real sockets. */
@Timeout(60)
class ControlClientTest {

    private static final EndpointList.Names NAMES = new EndpointList.Names(List.of("a"), List.of("m2"));

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Clock clock = new Clock();
    private final List<EndpointList> lists = new CopyOnWriteArrayList<>();
    private final Map<String, EndpointState> states = new ConcurrentHashMap<>();
    private final List<String> documents = new CopyOnWriteArrayList<>();
    private ControlNodeCluster nodes;
    private ControlClient client;

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).awaitUninterruptibly();
        nodes.close();
    }

    private static InetSocketAddress addressOf(ControlNode node) {
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(), node.address().getPort());
    }

    private void start(List<InetSocketAddress> addresses, List<InetSocketAddress> fallbacks) {
        client = new ControlClient(
                loop,
                clock,
                new ControlClient.Subscription("edge-1", addresses, fallbacks, List.of("quote"), "base", null),
                NAMES,
                7,
                new EventLog(clock, new TextSink(new PrintStream(nodes.log, true, StandardCharsets.UTF_8))));
        client.setListener(list -> {
            lists.add(list);
            if (list.full()) {
                states.clear();
            }
            list.endpoints().forEach(endpoint -> {
                if (endpoint.state() == EndpointState.GONE) {
                    states.remove(endpoint.id());
                } else {
                    states.put(endpoint.id(), endpoint.state());
                }
            });
        });
        client.setSettingsHandler(text -> {
            documents.add(String.valueOf(text));
            return text != null && text.contains("bad")
                    ? new SettingsOutcome.Rejected("it is bad")
                    : new SettingsOutcome.Applied();
        });
        loop.execute(client::watch);
    }

    private void start(String... names) {
        start(List.of(names).stream().map(name -> addressOf(nodes.node(name))).toList(), List.of());
    }

    private void awaitState(String id, EndpointState state) throws InterruptedException {
        ControlNodeCluster.await(id + " is " + state, () -> states.get(id) == state);
    }

    /** Waits until the client watches a node, and returns that node. */
    private ControlNode watchedNode() throws InterruptedException {
        List<ControlNode> watchedNodes = new ArrayList<>();
        ControlNodeCluster.await("the client watches a node", () -> {
            nodes.all.stream().filter(node -> watcherCount(node) > 0).forEach(watchedNodes::add);
            return !watchedNodes.isEmpty();
        });
        return watchedNodes.get(0);
    }

    private static int watcherCount(ControlNode node) {
        return node.status().watchers().watcherCount();
    }

    /** Guards against a sidecar that processes its complete endpoint list for each change or empty response. */
    @Test
    void onlyChangesArePassedOn() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2");
        for (int i = 0; i < 100; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.put("w1", "price", "p1", "in_service");
        nodes.awaitEqual("w1", "w2");
        start("w1", "w2");
        awaitState("s99", EndpointState.READY);
        assertTrue(lists.get(0).full());
        assertEquals(100, lists.get(0).entries().size());
        nodes.put("w2", "quote", "s7", "terminating");
        awaitState("s7", EndpointState.DRAINING);
        nodes.node("w1").put(ConfigurationChange.removeEndpoint("quote", "s8"));
        ControlNodeCluster.await("the removed endpoint is gone", () -> !states.containsKey("s8"));
        assertEquals(3, lists.size());
        assertEquals(
                List.of(1, 1),
                lists.subList(1, 3).stream().map(list -> list.entries().size()).toList());
        assertTrue(lists.subList(1, 3).stream().noneMatch(EndpointList::full));
        // A response without an update, which follows a wait of 2 s, is not passed on.
        long responses = nodes.node("w1").watchCounters().responses()
                + nodes.node("w2").watchCounters().responses();
        ControlNodeCluster.await(
                "more than ten empty responses were sent",
                () -> nodes.node("w1").watchCounters().responses()
                                + nodes.node("w2").watchCounters().responses()
                        > responses + 10);
        assertEquals(3, lists.size());
    }

    /** Guards against a node failure after which watchers miss or receive late the changes that the node lacked. */
    @Test
    void watcherOfAFailedNodeContinuesAtAnotherNode() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2", "w3");
        for (int i = 0; i < 50; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "w3");
        start("w1", "w2", "w3");
        awaitState("s49", EndpointState.READY);
        ControlNode watched = watchedNode();
        List<String> others = nodes.all.stream()
                .filter(node -> node != watched)
                .map(ControlNode::name)
                .toList();
        // Partitions the node from the others so that its watcher lacks the change when it moves to one of them.
        others.forEach(other -> watched.setPartitioned(other, true));
        nodes.put(others.get(0), "quote", "s7", "terminating");
        nodes.awaitState(others.get(1), "quote", "s7", "terminating");
        watched.stop();
        long startNs = System.nanoTime();
        awaitState("s7", EndpointState.DRAINING);
        assertTrue((System.nanoTime() - startNs) / 1e6 < 3000);
        assertEquals(2, lists.size(), "expected one full list and one delta");
        assertEquals(1, lists.get(1).entries().size());
        assertEquals(50, states.size());
    }

    /** The machine of a node is lost without closing connections, so that they stay open but carry no data. */
    @Test
    void unresponsiveNodeIsAbandonedWithinThreeSeconds() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        try (ServerSocket silentServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            InetSocketAddress silentAddress =
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), silentServer.getLocalPort());
            long startNs = System.nanoTime();
            start(List.of(silentAddress), List.of(addressOf(nodes.node("w1"))));
            awaitState("s1", EndpointState.READY);
            assertTrue((System.nanoTime() - startNs) / 1e6 < 3000);
        }
    }

    @Test
    void staleNodeIsAbandonedForACurrentOne() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2", "w3");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2", "w3");
        start("w1", "w2", "w3");
        awaitState("s1", EndpointState.READY);
        ControlNode watched = watchedNode();
        List<ControlNode> others =
                nodes.all.stream().filter(node -> node != watched).toList();
        for (ControlNode other : others) {
            watched.setPartitioned(other.name(), true);
            other.setPartitioned(watched.name(), true);
        }
        nodes.put(others.get(0).name(), "quote", "s1", "terminating");
        awaitState("s1", EndpointState.DRAINING);
        assertEquals(2, lists.size());
    }

    /** Guards against endpoints that reappear or disappear when the client moves to a node with older entries. */
    @Test
    void laggingNodeRevertsNothing() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2");
        start("w1", "w2");
        awaitState("s1", EndpointState.READY);
        ControlNode watched = watchedNode();
        ControlNode other =
                nodes.all.stream().filter(node -> node != watched).findFirst().get();
        watched.setPartitioned(other.name(), true);
        other.setPartitioned(watched.name(), true);
        nodes.put(watched.name(), "quote", "s1", "terminating");
        nodes.put(watched.name(), "quote", "s2", "in_service");
        awaitState("s2", EndpointState.READY);
        watched.stop();
        ControlNodeCluster.await("the client watches the other node", () -> watcherCount(other) > 0);
        nodes.put(other.name(), "quote", "s3", "in_service");
        awaitState("s3", EndpointState.READY);
        assertEquals(
                Map.of("s1", EndpointState.DRAINING, "s2", EndpointState.READY, "s3", EndpointState.READY), states);
    }

    @Test
    void nodeThatIsNotReadyIsAbandonedAndItsEmptyListIgnored() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        ControlNode empty = nodes.start("w2", "west");
        start(List.of(addressOf(empty)), List.of(addressOf(nodes.node("w1"))));
        awaitState("s1", EndpointState.READY);
        assertEquals(1, lists.size());
    }

    /**
     * One of two watchers rejects a settings document. It keeps the last valid document, and the status shows the
     * rejection to operators.
     */
    @Test
    void invalidSettingsAreRejectedAndTheLastValidOnesStayInForce() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        nodes.node("w1").put(ConfigurationChange.settings("base", "good 1"));
        WatchTestClient other =
                new WatchTestClient("quote").connectTo(nodes.node("w1").address());
        start("w1");
        ControlNodeCluster.await("the first document is in force", () -> documents.equals(List.of("good 1")));
        nodes.node("w1").put(ConfigurationChange.settings("base", "bad 2"));
        ControlNodeCluster.await("the second document is rejected", () -> documents.equals(List.of("good 1", "bad 2")));
        String timestamp =
                nodes.node("w1").entry("settings:base", "base").timestamp().encode();
        other.sendWatch(0, "&settings=base&inforce=" + timestamp).receive();
        other.close();
        ControlNodeCluster.await("the status shows the rejection", () -> {
            String status = Json.text(nodes.node("w1").status().watchers().toJson());
            return status.contains("\"refusals\":1,\"refused\":[{")
                    && status.contains("it is bad")
                    && status.contains("\"watchers\":2,\"oldest\":\"")
                    && !status.contains("\"oldest\":\"" + timestamp)
                    && status.contains("\"oldest_at\":[\"edge-1\"]");
        });
        nodes.node("w1").put(ConfigurationChange.settings("base", "good 3"));
        ControlNodeCluster.await("the third document is applied", () -> documents.size() == 3);
        ControlNodeCluster.await(
                "the status shows no rejection",
                () -> Json.text(nodes.node("w1").status().watchers().toJson()).contains("\"refusals\":0"));
        nodes.node("w1").put(ConfigurationChange.removeSettings("base"));
        ControlNodeCluster.await("the client reverts to its own settings", () -> documents.size() == 4);
        assertEquals("null", documents.get(3));
        assertNull(states.get("base"));
        assertFalse(lists.isEmpty());
    }
}
