package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.config.ControlConfig;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.replication.MergeOutcome;
import lemonrail.discovery.EndpointList;
import lemonrail.logging.LogSettings;
import lemonrail.logging.TextSink;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Control nodes and their watchers on real sockets, and what goes wrong among them. */
@Timeout(60)
class ControlNodeTest {

    private static final EndpointList.Names NAMES = new EndpointList.Names(List.of("a"), List.of("m2"));

    private Nodes nodes = new Nodes();
    private final List<Watcher> watchers = new ArrayList<>();

    @TempDir
    Path folder;

    @AfterEach
    void stop() throws IOException {
        for (Watcher watcher : watchers) {
            watcher.close();
        }
        nodes.close();
    }

    private Watcher watcher(String services, String node) throws IOException {
        Watcher watcher = new Watcher(services).to(nodes.node(node).address());
        watchers.add(watcher);
        return watcher;
    }

    /** Guards against answers that a sidecar of the platform's protocol alone can't read. */
    @Test
    void aPlainWatchIsServedByThePlatformsProtocol() throws Exception {
        nodes = Nodes.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        Watcher plain = watcher("", "w1");
        EndpointList list = EndpointList.parse(
                plain.get("/registry/instances").read().text.getBytes(StandardCharsets.UTF_8), NAMES);
        assertTrue(list.full());
        assertEquals("s1", list.servers().get(0).id());
        assertEquals(0, list.servers().get(0).zone());
        plain.get("/registry/instances?index=" + list.version() + "&wait=20000");
        Nodes.await("it waits", () -> nodes.node("w1").figures().get(1) == 1);
        nodes.put("w1", "quote", "s1", "terminating");
        EndpointList change = EndpointList.parse(plain.read().text.getBytes(StandardCharsets.UTF_8), NAMES);
        assertFalse(change.full());
        assertEquals(
                List.of(EndpointState.DRAINING),
                change.servers().stream().map(server -> server.state()).toList());
        assertTrue(change.version() > list.version());
        nodes.node("w1").put(ConfigurationChange.endpointGone("quote", "s1"));
        change = EndpointList.parse(
                plain.get("/registry/instances?index=" + change.version() + "&wait=20000")
                        .read()
                        .text
                        .getBytes(StandardCharsets.UTF_8),
                NAMES);
        assertEquals(
                List.of(EndpointState.GONE),
                change.servers().stream().map(server -> server.state()).toList());
        Watcher other = watcher("", "w1");
        assertTrue(
                EndpointList.parse(
                                other.get("/registry/instances?index=" + change.version() + "&wait=20000")
                                        .read()
                                        .text
                                        .getBytes(StandardCharsets.UTF_8),
                                NAMES)
                        .full(),
                "without a proof of what it holds a new connection gets the whole list at once");
    }

    @Test
    void aWatcherHearsOfItsServicesOnly() throws Exception {
        nodes = Nodes.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w1", "price", "p1", "in_service");
        Watcher watcher = watcher("quote,stock", "w1").watch(0);
        assertEquals(List.of("s1"), List.copyOf(watcher.states.keySet()));
        watcher.call(20_000, "");
        Nodes.await("it waits", () -> nodes.node("w1").figures().get(1) == 1);
        nodes.put("w1", "price", "p2", "in_service");
        nodes.put("w1", "stock", "t1", "in_service");
        watcher.take();
        assertFalse(watcher.full);
        assertEquals(List.of("s1", "t1"), List.copyOf(watcher.states.keySet()));
        assertEquals(1, watcher.listed());
    }

    /** Guards against 500 answers to each watcher where a region drains. */
    @Test
    void changesThatPourComeTogetherAndTheFirstAtOnce() throws Exception {
        nodes = Nodes.of("w1");
        Watcher watcher = watcher("quote", "w1").watch(0);
        watcher.call(20_000, "");
        Nodes.await("it waits", () -> nodes.node("w1").figures().get(1) == 1);
        long began = System.nanoTime();
        nodes.put("w1", "quote", "s0", "in_service");
        watcher.take();
        double firstMs = (System.nanoTime() - began) / 1e6;
        Thread pouring = new Thread(() -> {
            for (int i = 1; i < 500; i++) {
                nodes.put("w1", "quote", "s" + i, "in_service");
            }
        });
        pouring.start();
        int answers = 0;
        while (watcher.states.size() < 500) {
            watcher.watch(20_000);
            answers++;
        }
        double tookMs = (System.nanoTime() - began) / 1e6;
        pouring.join();
        assertTrue(firstMs < 150, "the first came after " + firstMs + " ms");
        assertTrue(answers <= 1 + tookMs / 150, answers + " answers in " + tookMs + " ms");
    }

    @Test
    void aNodeWithoutAnyWordAnswersNobody() throws Exception {
        nodes.start("w1", "west");
        Watcher watcher = watcher("quote", "w1").watch(0);
        assertEquals(503, watcher.status);
        assertThrows(IllegalStateException.class, () -> nodes.put("w1", "quote", "s1", "in_service"));
        nodes.node("w1").begin();
        assertEquals(200, watcher.watch(0).status);
    }

    /** A node is lost when it has told only one other of the change, and one of its watchers nothing. */
    @Test
    void aNodeThatIsLostInTheMiddleOfAChangeHoldsNothingUp() throws Exception {
        nodes = Nodes.of("w1", "w2", "e1");
        for (int i = 0; i < 100; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "e1");
        Watcher lost = watcher("quote", "w1").watch(0);
        Watcher elsewhere = watcher("quote", "e1").watch(0);
        nodes.node("w1").cut("e1", true);
        nodes.put("w1", "quote", "s7", "terminating");
        nodes.awaitState("w2", "quote", "s7", "terminating");
        nodes.node("w1").stop();
        elsewhere.watchUntil("s7", "terminating");
        assertFalse(elsewhere.full);
        lost.to(nodes.node("w2").address());
        long before = lost.bytes;
        lost.watchUntil("s7", "terminating");
        assertFalse(lost.full, "no whole list after a node's loss");
        long tookBytes = lost.bytes - before;
        lost.watch(0);
        assertFalse(lost.full);
        // What has arrived within the overlap comes again: here all of it is that new.
        assertTrue(tookBytes > 0);
        assertEquals(100, lost.states.size());
    }

    /** The other node had the change before the version that the watcher comes with, its own node never. */
    @Test
    void whatTheFormerNodeNeverHeardComesAsAChange() throws Exception {
        nodes = Nodes.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w1", "quote", "s2", "in_service");
        nodes.awaitEqual("w1", "w2");
        nodes.node("w1").cut("w2", true);
        nodes.put("w2", "quote", "s1", "terminating");
        Watcher watcher = watcher("quote", "w1").watch(0);
        assertEquals("in_service", watcher.states.get("s1"));
        watcher.to(nodes.node("w2").address()).watch(0);
        assertFalse(watcher.full);
        assertEquals("terminating", watcher.states.get("s1"));
    }

    /** Guards against a whole list, or an empty one, from a node that has come up with nothing. */
    @Test
    void aVersionOfANodeThatRestartedFromNothingGoesOn() throws Exception {
        nodes = Nodes.of("w1", "w2");
        for (int i = 0; i < 50; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2");
        Watcher watcher = watcher("quote", "w2").watch(0);
        long told = watcher.version;
        ControlNode before = nodes.node("w2");
        before.stop();
        ControlNode again = nodes.start("w2", "west", before.address(), null);
        assertEquals(503, watcher.to(again.address()).watch(0).status, "it knows nothing yet");
        assertEquals(50, watcher.states.size());
        nodes.put("w1", "quote", "s3", "terminating");
        again.watch(nodes.node("w1").asPeer());
        Nodes.await("it is ready", again::isReady);
        watcher.watchUntil("s3", "terminating");
        assertFalse(watcher.full);
        assertTrue(watcher.version > told, "versions go on");
        watcher.watch(0);
        assertFalse(watcher.full, "what it holds is proved equal");
        assertEquals(0, watcher.listed());
        assertEquals(50, watcher.states.size());
    }

    /** Guards against trust in a version where the watcher lacks what its former node never heard. */
    @Test
    void whoLacksSomethingOldGetsTheWholeListOnce() throws Exception {
        nodes = Nodes.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2");
        Watcher watcher = watcher("quote", "w1").watch(0);
        // As if ten seconds and more had passed since.
        watcher.replica.apply(
                new lemonrail.core.replication.WatcherReplica.Key("quote", "s9"),
                new lemonrail.core.replication.HybridTimestamp(1, 0, "w1"),
                false);
        watcher.states.put("s9", "in_service");
        watcher.version += 60_000L << 10;
        watcher.to(nodes.node("w2").address()).watch(0);
        assertTrue(watcher.full);
        assertEquals(List.of("s1"), List.copyOf(watcher.states.keySet()));
        watcher.watch(0);
        assertFalse(watcher.full);
    }

    /** The drain comes to the third node before the older word, which comes round by another way. */
    @Test
    void aDrainIsNotUndoneByAnOlderWordThatComesByAnotherWay() throws Exception {
        nodes = Nodes.of("w1", "w2", "w3");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2", "w3");
        for (String name : List.of("w2", "w3")) {
            nodes.node("w1").cut(name, true);
            nodes.node(name).cut("w1", true);
        }
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w2", "quote", "s1", "terminating");
        nodes.awaitState("w3", "quote", "s1", "terminating");
        Watcher watcher = watcher("quote", "w3").watch(0);
        nodes.node("w1").cut("w3", false);
        nodes.node("w3").cut("w1", false);
        nodes.awaitEqual("w1", "w2", "w3");
        assertTrue(nodes.node("w1").get("quote", "s1").contains("terminating"));
        assertTrue(nodes.node("w3").get("quote", "s1").contains("terminating"));
        watcher.watch(0);
        assertEquals("terminating", watcher.states.get("s1"));
        assertEquals(
                MergeOutcome.SUPERSEDED,
                nodes.node("w1")
                        .put(ConfigurationChange.endpoint(
                                        "quote", "s1", "{\"addr\":\"10.0.0.1:9000\"}".getBytes(StandardCharsets.UTF_8))
                                .asOf(1_000_000)));
    }

    /** Each side drains and adds while they are apart; its watchers see no endpoint go and come. */
    @Test
    void regionsThatWereApartAreMergedWithoutAJump() throws Exception {
        nodes = Nodes.of("w1", "w2", "e1", "e2");
        for (int i = 0; i < 20; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "e1", "e2");
        Watcher west = watcher("quote", "w2").watch(0);
        Watcher east = watcher("quote", "e2").watch(0);
        regions(true);
        nodes.put("w1", "quote", "s1", "terminating");
        nodes.put("e1", "quote", "s2", "terminating");
        nodes.put("e1", "quote", "new", "in_service");
        nodes.node("w1").put(ConfigurationChange.endpointGone("quote", "s3"));
        west.watchUntil("s1", "terminating");
        east.watchUntil("s2", "terminating");
        west.watchUntil("s3", null);
        east.watchUntil("new", "in_service");
        assertEquals("in_service", east.states.get("s1"), "it goes on with what it knows");
        Nodes.await("the region's age is told", () -> {
            Map<?, ?> regions = (Map<?, ?>) nodes.node("w2").status().get("regions");
            return (Long) regions.get("east") > 1200;
        });
        assertTrue((Long) nodes.node("w2").status().get("age_ms") < 1200, "its own region is heard");
        west.watch(0);
        assertTrue(((Map<?, ?>) west.answer.get("regions")).containsKey("east"));
        regions(false);
        nodes.awaitEqual("w1", "w2", "e1", "e2");
        for (Watcher watcher : List.of(west, east)) {
            watcher.watchUntil("s1", "terminating");
            watcher.watchUntil("s2", "terminating");
            watcher.watchUntil("s3", null);
            watcher.watchUntil("new", "in_service");
            assertFalse(watcher.full);
            assertTrue(watcher.listed() <= 4, "changes only");
            assertEquals(20, watcher.states.size());
        }
        assertEquals(west.replica.digest(), east.replica.digest());
    }

    private void regions(boolean apart) {
        for (String west : List.of("w1", "w2")) {
            for (String east : List.of("e1", "e2")) {
                nodes.node(west).cut(east, apart);
                nodes.node(east).cut(west, apart);
            }
        }
    }

    @Test
    void aNodeThatHearsNothingNewSaysHowOldItIs() throws Exception {
        nodes = Nodes.of("w1", "w2", "w3");
        Watcher watcher = watcher("quote", "w3").watch(0);
        assertTrue((Double) watcher.answer.get("age_ms") < 2000);
        for (String other : List.of("w1", "w2")) {
            nodes.node("w3").cut(other, true);
        }
        Nodes.await("it says so", () -> {
            try {
                return (Double) watcher.watch(100).answer.get("age_ms") > 2000;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Guards against a watcher that takes nothing and so holds up memory or the others. */
    @Test
    void aSlowWatcherIsClosedAndHoldsUpNobody() throws Exception {
        nodes = Nodes.of("w1");
        for (int i = 0; i < 150; i++) {
            assertEquals(
                    MergeOutcome.APPLIED,
                    nodes.node("w1").put(ConfigurationChange.settings("d" + i, "x".repeat(60_000))));
        }
        nodes.put("w1", "quote", "s1", "in_service");
        List<Watcher> slow = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            Watcher one = new Watcher("quote").to(nodes.node("w1").address(), 4096);
            watchers.add(one);
            slow.add(one);
            // As a peer it gets everything: 9 MB, more than the system takes.
            one.get("/registry/instances?peer=slow" + i);
        }
        Watcher other = watcher("quote", "w1").watch(0);
        for (int i = 0; i < 20; i++) {
            other.call(20_000, "");
            long began = System.nanoTime();
            nodes.put("w1", "quote", "s" + i, "terminating");
            other.take();
            assertTrue((System.nanoTime() - began) / 1e6 < 1000, "nobody is held up");
        }
        Nodes.await("they are closed", () -> nodes.node("w1").figures().get(4) == 10);
        for (Watcher one : slow) {
            one.awaitEnd();
        }
        assertEquals(200, other.watch(0).status);
    }

    @Test
    void callsBeforeTheAnswerEndTheConnection() throws Exception {
        nodes = Nodes.of("w1");
        Watcher watcher = watcher("quote", "w1").watch(0);
        watcher.call(20_000, "").call(20_000, "");
        watcher.awaitEnd();
        assertEquals(0, nodes.node("w1").figures().get(1));
    }

    /** All are back at once with an empty hand, each asking for the three services that it calls. */
    @Test
    void aThousandAreBackAtOnce() throws Exception {
        nodes = Nodes.of("w1");
        thousandEndpoints();
        long began = System.nanoTime();
        List<Watcher> fleet = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            fleet.add(watcher("service" + i % 110 + ",service" + (i + 1) % 110 + ",service" + (i + 2) % 110, "w1")
                    .call(0, ""));
        }
        long bytes = 0;
        for (Watcher one : fleet) {
            one.take();
            assertTrue(one.full && one.listed() >= 27);
            bytes += one.bytes;
        }
        System.out.println("1,000 watchers of 3 of 110 services, back at once at one node: "
                + (System.nanoTime() - began) / 1_000_000 + " ms, " + bytes / 1000 + " kB in all");
        assertTrue(nodes.node("w1").figures().get(5) <= 110, "a text is made once for all who lack it");
        nodes.put("w1", "service7", "s7", "terminating");
        for (Watcher one : fleet) {
            one.watch(0);
            assertFalse(one.full);
            assertEquals(one.states.containsKey("s7") ? 1 : 0, one.listed());
        }
    }

    /** The same for watchers of everything, as plain ones are. */
    @Test
    void aThousandGetTheWholeListAtOnce() throws Exception {
        nodes = Nodes.of("w1");
        thousandEndpoints();
        long began = System.nanoTime();
        List<Watcher> fleet = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            fleet.add(watcher("", "w1").call(0, ""));
        }
        long bytes = 0;
        for (Watcher one : fleet) {
            bytes += one.read().bytes;
            one.text = "";
        }
        System.out.println("1,000 whole lists of 1,000 at once from one node: "
                + (System.nanoTime() - began) / 1_000_000 + " ms, " + bytes / 1_000_000 + " MB in all");
        assertEquals(1, nodes.node("w1").figures().get(5), "the text is made once");
    }

    private void thousandEndpoints() {
        for (int i = 0; i < 1000; i++) {
            nodes.put("w1", "service" + i % 110, "s" + i, "in_service");
        }
    }

    @Test
    void whatIsKnownIsKeptForTheNextStart() throws Exception {
        ControlNode first = nodes.start("w1", "west", Nodes.anyPort(), folder);
        first.begin();
        nodes.put("w1", "quote", "s1", "terminating");
        first.put(ConfigurationChange.settings("base", "# nothing"));
        long digest = first.digest();
        first.stop();
        ControlNode again = nodes.start("w1", "west", Nodes.anyPort(), folder);
        assertTrue(again.isReady());
        assertEquals(digest, again.digest());
        assertEquals("# nothing", again.get("settings:base", "base"));
        nodes.put("w1", "quote", "s1", "in_service");
    }

    /** Guards against a node that comes up with an old list and tells it before it has heard the others. */
    @Test
    void whatWasKeptIsToldOnlyAfterAnotherNodeWasHeardOrAWhile() throws Exception {
        nodes = Nodes.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        ControlNode kept = nodes.start("w2", "west", Nodes.anyPort(), folder);
        kept.watch(nodes.node("w1").asPeer());
        Nodes.await("it is ready", kept::isReady);
        kept.stop();
        nodes.put("w1", "quote", "s1", "terminating");
        ControlNode again = ControlNode.create(
                new ControlConfig(
                        "w2",
                        "west",
                        Nodes.anyPort(),
                        null,
                        List.of(nodes.node("w1").asPeer()),
                        ControlConfig.DEFAULT_MAX_WATCHERS,
                        ControlConfig.DEFAULT_RESPONSE_INTERVAL_MS,
                        folder,
                        LogSettings.DEFAULT),
                new TextSink(System.err));
        nodes.all.add(again);
        again.open();
        Watcher watcher = new Watcher("quote").to(again.address());
        watchers.add(watcher);
        Nodes.await("it is ready", again::isReady);
        assertEquals("terminating", watcher.watch(0).states.get("s1"));
        again.stop();
        nodes.node("w1").stop();
        ControlNode alone = ControlNode.create(
                new ControlConfig(
                        "w2",
                        "west",
                        Nodes.anyPort(),
                        null,
                        List.of(nodes.node("w1").asPeer()),
                        ControlConfig.DEFAULT_MAX_WATCHERS,
                        ControlConfig.DEFAULT_RESPONSE_INTERVAL_MS,
                        folder,
                        LogSettings.DEFAULT),
                new TextSink(System.err));
        nodes.all.add(alone);
        long began = System.nanoTime();
        alone.open();
        Nodes.await("it goes on alone", alone::isReady);
        assertTrue((System.nanoTime() - began) / 1e6 > 1900, "not at once");
        assertTrue((Long) alone.status().get("age_ms") > 1900, "it says how old that is");
        assertEquals("terminating", watcher.to(alone.address()).watch(0).states.get("s1"));
    }

    /** Guards against nodes that all wait for each other, where all were down. */
    @Test
    void nodesThatWereAllDownBeginFromWhatTheyHaveKeptTogether() throws Exception {
        List<ControlNode> before = new ArrayList<>();
        for (String name : List.of("w1", "w2")) {
            before.add(nodes.start(name, "west", Nodes.anyPort(), folder));
        }
        nodes.join();
        nodes.put("w1", "quote", "s1", "terminating");
        nodes.awaitEqual("w1", "w2");
        before.get(0).stop();
        nodes.put("w2", "quote", "s2", "in_service");
        before.get(1).stop();
        long began = System.nanoTime();
        List<ControlNode> again = new ArrayList<>();
        for (ControlNode node : before) {
            ControlNode fresh = ControlNode.create(
                    new ControlConfig(
                            node.name(),
                            "west",
                            node.address(),
                            null,
                            before.stream()
                                    .filter(other -> other != node)
                                    .map(ControlNode::asPeer)
                                    .toList(),
                            ControlConfig.DEFAULT_MAX_WATCHERS,
                            ControlConfig.DEFAULT_RESPONSE_INTERVAL_MS,
                            folder,
                            LogSettings.DEFAULT),
                    new TextSink(System.err));
            nodes.all.add(fresh);
            again.add(fresh);
            fresh.open();
        }
        Nodes.await("both are ready", () -> again.stream().allMatch(ControlNode::isReady));
        assertTrue((System.nanoTime() - began) / 1e6 < 1900, "they need not wait");
        nodes.awaitEqual("w1", "w2");
        assertTrue(again.get(0).get("quote", "s2").contains("in_service"));
        assertTrue(again.get(1).get("quote", "s1").contains("terminating"));
    }

    /** Guards against one item of another version's node that keeps all others from coming. */
    @Test
    void anItemThatCannotBeReadKeepsNoOtherBack() throws Exception {
        nodes.start("w1", "west");
        String list = "{\"version\":5,\"full\":true,\"node\":\"x-1\",\"heard\":{\"x\":\"7.0.x\"},"
                + "\"servers\":["
                + "{\"id\":\"s1\",\"addr\":\"10.0.0.1:1\",\"state\":\"asleep\",\"service\":\"quote\","
                + "\"stamp\":\"5.0.x\"},"
                + "{\"id\":\"s2\",\"addr\":\"10.0.0.1:1\",\"state\":\"in_service\",\"service\":\"quote\","
                + "\"stamp\":\"6.0.x\",\"colour\":\"blue\"}],\"settings\":[]}";
        try (java.net.ServerSocket later = new java.net.ServerSocket(0, 5, java.net.InetAddress.getLoopbackAddress())) {
            nodes.node("w1")
                    .watch(new ControlConfig.Peer(
                            "x", new java.net.InetSocketAddress(later.getInetAddress(), later.getLocalPort()), "west"));
            try (java.net.Socket socket = later.accept()) {
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.ISO_8859_1));
                Nodes.await("it is ready", nodes.node("w1")::isReady);
                assertTrue(nodes.node("w1").get("quote", "s2").contains("in_service"));
                assertEquals(null, nodes.node("w1").get("quote", "s1"));
            }
        }
    }

    @Test
    void whatIsInForceAndWhatWasRefusedIsTold() throws Exception {
        nodes = Nodes.of("w1", "w2");
        nodes.node("w1").put(ConfigurationChange.settings("base", "one"));
        nodes.awaitEqual("w1", "w2");
        Watcher watcher = watcher("quote", "w2");
        watcher.call(0, "&settings=base").take();
        Map<?, ?> document = (Map<?, ?>) ((List<?>) watcher.answer.get("settings")).get(0);
        assertEquals("one", document.get("text"));
        watcher.call(0, "&settings=base&inforce=5.0.w1&refused=" + document.get("stamp") + "&why=no%20such%20class")
                .take();
        Nodes.await("the other node knows", () -> {
            String status = lemonrail.json.Json.text(nodes.node("w1").status());
            return status.contains("\"oldest\":\"5.0.w1\",\"oldest_at\":[\"w1\"],\"refusals\":1")
                    && status.contains("no such class");
        });
    }

    @Test
    void theFileOfANodeThatIsGoneIsNoConcernOfAPeerThatComesLater() throws Exception {
        nodes = Nodes.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2");
        nodes.node("w1").stop();
        nodes.put("w2", "quote", "s1", "terminating");
        ControlNode later = nodes.start("w3", "west");
        later.watch(nodes.node("w2").asPeer());
        Nodes.await("it is ready", later::isReady);
        assertTrue(later.get("quote", "s1").contains("terminating"));
    }
}
