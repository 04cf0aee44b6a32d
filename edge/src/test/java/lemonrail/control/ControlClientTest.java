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
import lemonrail.logging.EventLog;
import lemonrail.logging.TextSink;
import lemonrail.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The sidecar's watch over several nodes, on real sockets. */
@Timeout(60)
class ControlClientTest {

    private static final EndpointList.Names NAMES = new EndpointList.Names(List.of("a"), List.of("m2"));

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final Clock clock = new Clock();
    private final List<EndpointList> lists = new CopyOnWriteArrayList<>();
    private final Map<String, EndpointState> states = new ConcurrentHashMap<>();
    private final List<String> documents = new CopyOnWriteArrayList<>();
    private Nodes nodes;
    private ControlClient client;

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).awaitUninterruptibly();
        nodes.close();
    }

    private static InetSocketAddress at(ControlNode node) {
        return new InetSocketAddress(
                InetAddress.getLoopbackAddress(), node.address().getPort());
    }

    private void start(List<InetSocketAddress> addresses, List<InetSocketAddress> fallbacks) {
        client = new ControlClient(
                loop,
                clock,
                new ControlClient.Plan("edge-1", addresses, fallbacks, List.of("quote"), "base", null),
                NAMES,
                7,
                new EventLog(clock, new TextSink(new PrintStream(nodes.log, true, StandardCharsets.UTF_8))));
        client.listen(list -> {
            lists.add(list);
            if (list.full()) {
                states.clear();
            }
            list.servers().forEach(server -> {
                if (server.state() == EndpointState.GONE) {
                    states.remove(server.id());
                } else {
                    states.put(server.id(), server.state());
                }
            });
        });
        client.takeSettings(text -> {
            documents.add(String.valueOf(text));
            return text != null && text.contains("bad") ? "it is bad" : null;
        });
        loop.execute(client::watch);
    }

    private void start(String... names) {
        start(List.of(names).stream().map(name -> at(nodes.node(name))).toList(), List.of());
    }

    private void awaitState(String id, EndpointState state) throws InterruptedException {
        Nodes.await(id + " is " + state, () -> states.get(id) == state);
    }

    /** The node that the client watches at. */
    private ControlNode own() throws InterruptedException {
        List<ControlNode> own = new ArrayList<>();
        Nodes.await("it watches", () -> {
            nodes.all.stream().filter(node -> watchers(node) > 0).forEach(own::add);
            return !own.isEmpty();
        });
        return own.get(0);
    }

    private static int watchers(ControlNode node) {
        return (Integer) ((Map<?, ?>) node.status().get("watching")).get("watchers");
    }

    /** Guards against a sidecar that goes through its whole list for each change, or for none. */
    @Test
    void onlyWhatHasChangedIsPassedOn() throws Exception {
        nodes = Nodes.of("w1", "w2");
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
        nodes.node("w1").put(ConfigurationChange.endpointGone("quote", "s8"));
        Nodes.await("it is gone", () -> !states.containsKey("s8"));
        assertEquals(3, lists.size());
        assertEquals(
                List.of(1, 1),
                lists.subList(1, 3).stream().map(list -> list.entries().size()).toList());
        assertTrue(lists.subList(1, 3).stream().noneMatch(EndpointList::full));
        // An answer without news, whose wait is 2 s, is passed on to nobody.
        long answers =
                nodes.node("w1").figures().get(2) + nodes.node("w2").figures().get(2);
        Nodes.await(
                "an empty answer",
                () -> nodes.node("w1").figures().get(2)
                                + nodes.node("w2").figures().get(2)
                        > answers + 10);
        assertEquals(3, lists.size());
    }

    /** Guards against a lost node that costs its watchers the changes of seconds. */
    @Test
    void aLostNodesWatcherGoesOnAtTheNextOne() throws Exception {
        nodes = Nodes.of("w1", "w2", "w3");
        for (int i = 0; i < 50; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "w3");
        start("w1", "w2", "w3");
        awaitState("s49", EndpointState.READY);
        ControlNode own = own();
        List<String> others = nodes.all.stream()
                .filter(node -> node != own)
                .map(ControlNode::name)
                .toList();
        // It hears no more of the others, so that its watcher lacks the change as it goes to one of them.
        others.forEach(other -> own.cut(other, true));
        nodes.put(others.get(0), "quote", "s7", "terminating");
        nodes.awaitState(others.get(1), "quote", "s7", "terminating");
        own.stop();
        long began = System.nanoTime();
        awaitState("s7", EndpointState.DRAINING);
        assertTrue((System.nanoTime() - began) / 1e6 < 3000);
        assertEquals(2, lists.size(), "one list, and one change");
        assertEquals(1, lists.get(1).entries().size());
        assertEquals(50, states.size());
    }

    /** A node's machine vanishes: its connections stay open and say nothing. */
    @Test
    void aSilentNodeIsLeftWithinSixSeconds() throws Exception {
        nodes = Nodes.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        try (ServerSocket silent = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            InetSocketAddress gone = new InetSocketAddress(InetAddress.getLoopbackAddress(), silent.getLocalPort());
            long began = System.nanoTime();
            start(List.of(gone), List.of(at(nodes.node("w1"))));
            awaitState("s1", EndpointState.READY);
            assertTrue((System.nanoTime() - began) / 1e6 < 3000);
        }
    }

    @Test
    void aNodeThatHearsNothingNewIsLeftForOneThatDoes() throws Exception {
        nodes = Nodes.of("w1", "w2", "w3");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2", "w3");
        start("w1", "w2", "w3");
        awaitState("s1", EndpointState.READY);
        ControlNode own = own();
        List<ControlNode> others =
                nodes.all.stream().filter(node -> node != own).toList();
        for (ControlNode other : others) {
            own.cut(other.name(), true);
            other.cut(own.name(), true);
        }
        nodes.put(others.get(0).name(), "quote", "s1", "terminating");
        awaitState("s1", EndpointState.DRAINING);
        assertEquals(2, lists.size());
    }

    /** Guards against an endpoint that comes back, or one that goes, as the watcher meets a node behind. */
    @Test
    void aNodeThatIsBehindTakesNothingBack() throws Exception {
        nodes = Nodes.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2");
        start("w1", "w2");
        awaitState("s1", EndpointState.READY);
        ControlNode own = own();
        ControlNode other =
                nodes.all.stream().filter(node -> node != own).findFirst().get();
        own.cut(other.name(), true);
        other.cut(own.name(), true);
        nodes.put(own.name(), "quote", "s1", "terminating");
        nodes.put(own.name(), "quote", "s2", "in_service");
        awaitState("s2", EndpointState.READY);
        own.stop();
        Nodes.await("it is at the other", () -> watchers(other) > 0);
        nodes.put(other.name(), "quote", "s3", "in_service");
        awaitState("s3", EndpointState.READY);
        assertEquals(
                Map.of("s1", EndpointState.DRAINING, "s2", EndpointState.READY, "s3", EndpointState.READY), states);
    }

    @Test
    void aNodeWithoutAWordIsLeftAndItsEmptyListTakenForNone() throws Exception {
        nodes = Nodes.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        ControlNode empty = nodes.start("w2", "west");
        start(List.of(at(empty)), List.of(at(nodes.node("w1"))));
        awaitState("s1", EndpointState.READY);
        assertEquals(1, lists.size());
    }

    /** A document that half of the fleet refuses: the last good one stays there, and the operators see it. */
    @Test
    void badSettingsAreRefusedAndTheLastGoodOnesStay() throws Exception {
        nodes = Nodes.of("w1");
        nodes.node("w1").put(ConfigurationChange.settings("base", "good 1"));
        Watcher taker = new Watcher("quote").to(nodes.node("w1").address());
        start("w1");
        Nodes.await("it is in force", () -> documents.equals(List.of("good 1")));
        nodes.node("w1").put(ConfigurationChange.settings("base", "bad 2"));
        Nodes.await("it is refused", () -> documents.equals(List.of("good 1", "bad 2")));
        String stamp =
                nodes.node("w1").item("settings:base", "base").timestamp().encode();
        taker.call(0, "&settings=base&inforce=" + stamp).take();
        taker.close();
        Nodes.await("the operators see it", () -> {
            String status = lemonrail.json.Json.text(nodes.node("w1").status().get("watching"));
            return status.contains("\"refusals\":1,\"refused\":[{")
                    && status.contains("it is bad")
                    && status.contains("\"watchers\":2,\"oldest\":\"")
                    && !status.contains("\"oldest\":\"" + stamp)
                    && status.contains("\"oldest_at\":[\"edge-1\"]");
        });
        nodes.node("w1").put(ConfigurationChange.settings("base", "good 3"));
        Nodes.await("the next one is taken", () -> documents.size() == 3);
        Nodes.await(
                "and no refusal stands",
                () -> lemonrail.json.Json.text(nodes.node("w1").status().get("watching"))
                        .contains("\"refusals\":0"));
        nodes.node("w1").put(ConfigurationChange.settingsGone("base"));
        Nodes.await("its own file's are back", () -> documents.size() == 4);
        assertEquals("null", documents.get(3));
        assertNull(states.get("base"));
        assertFalse(lists.isEmpty());
    }
}
