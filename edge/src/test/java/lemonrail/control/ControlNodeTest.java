package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lemonrail.core.balancer.EndpointState;
import lemonrail.core.replication.HybridTimestamp;
import lemonrail.core.replication.MergeOutcome;
import lemonrail.core.replication.WatcherReplica;
import lemonrail.discovery.EndpointList;
import lemonrail.discovery.EndpointListReader;
import lemonrail.json.Json;
import org.junit.jupiter.api.Test;

/** Tests the watches that a control node serves, on real sockets. */
class ControlNodeTest extends ControlNodeFixture {

    private static final EndpointList.Names NAMES = new EndpointList.Names(List.of("a"), List.of("m2"));

    /** Guards against responses that a sidecar cannot read if it supports only the platform's discovery protocol. */
    @Test
    void watchWithoutExtensionsIsServedInThePlatformsProtocol() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        WatchTestClient client = watcher("", "w1");
        EndpointList list = EndpointListReader.parse(
                client.get("/registry/instances").read().text.getBytes(StandardCharsets.UTF_8), NAMES);
        assertTrue(list.full());
        assertEquals("s1", list.endpoints().get(0).id());
        assertEquals(0, list.endpoints().get(0).zone());
        client.get("/registry/instances?index=" + list.version() + "&wait=20000");
        ControlNodeCluster.await(
                "the watch request is waiting",
                () -> nodes.node("w1").watchCounters().waiting() == 1);
        nodes.put("w1", "quote", "s1", "terminating");
        EndpointList change = EndpointListReader.parse(client.read().text.getBytes(StandardCharsets.UTF_8), NAMES);
        assertFalse(change.full());
        assertEquals(
                List.of(EndpointState.DRAINING),
                change.endpoints().stream().map(endpoint -> endpoint.state()).toList());
        assertTrue(change.version() > list.version());
        nodes.node("w1").put(ConfigurationChange.removeEndpoint("quote", "s1"));
        change = EndpointListReader.parse(
                client.get("/registry/instances?index=" + change.version() + "&wait=20000")
                        .read()
                        .text
                        .getBytes(StandardCharsets.UTF_8),
                NAMES);
        assertEquals(
                List.of(EndpointState.GONE),
                change.endpoints().stream().map(endpoint -> endpoint.state()).toList());
        WatchTestClient other = watcher("", "w1");
        assertTrue(
                EndpointListReader.parse(
                                other.get("/registry/instances?index=" + change.version() + "&wait=20000")
                                        .read()
                                        .text
                                        .getBytes(StandardCharsets.UTF_8),
                                NAMES)
                        .full(),
                "a request without a digest on a new connection must get a full snapshot immediately");
    }

    @Test
    void watcherReceivesOnlyItsServices() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w1", "price", "p1", "in_service");
        WatchTestClient watcher = watcher("quote,stock", "w1").watch(0);
        assertEquals(List.of("s1"), List.copyOf(watcher.states.keySet()));
        watcher.sendWatch(20_000, "");
        ControlNodeCluster.await(
                "the watch request is waiting",
                () -> nodes.node("w1").watchCounters().waiting() == 1);
        nodes.put("w1", "price", "p2", "in_service");
        nodes.put("w1", "stock", "t1", "in_service");
        watcher.receive();
        assertFalse(watcher.full);
        assertEquals(List.of("s1", "t1"), List.copyOf(watcher.states.keySet()));
        assertEquals(1, watcher.listedEndpoints());
    }

    /** Guards against one response for each of 500 changes, as when a region drains. */
    @Test
    void firstChangeIsSentImmediatelyAndRapidChangesAreBatched() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        WatchTestClient watcher = watcher("quote", "w1").watch(0);
        watcher.sendWatch(20_000, "");
        ControlNodeCluster.await(
                "the watch request is waiting",
                () -> nodes.node("w1").watchCounters().waiting() == 1);
        long startNs = System.nanoTime();
        nodes.put("w1", "quote", "s0", "in_service");
        watcher.receive();
        double firstMs = (System.nanoTime() - startNs) / 1e6;
        Thread writer = new Thread(() -> {
            for (int i = 1; i < 500; i++) {
                nodes.put("w1", "quote", "s" + i, "in_service");
            }
        });
        writer.start();
        int responses = 0;
        while (watcher.states.size() < 500) {
            watcher.watch(20_000);
            responses++;
        }
        double elapsedMs = (System.nanoTime() - startNs) / 1e6;
        writer.join();
        assertTrue(firstMs < 150, "the first change arrived after " + firstMs + " ms");
        assertTrue(responses <= 1 + elapsedMs / 150, responses + " responses in " + elapsedMs + " ms");
    }

    @Test
    void nodeThatIsNotReadyRejectsRequests() throws Exception {
        nodes.start("w1", "west");
        WatchTestClient watcher = watcher("quote", "w1").watch(0);
        assertEquals(503, watcher.status);
        assertThrows(IllegalStateException.class, () -> nodes.put("w1", "quote", "s1", "in_service"));
        nodes.node("w1").bootstrap();
        assertEquals(200, watcher.watch(0).status);
    }

    /**
     * Guards against a delta from the known version to a watcher whose entries differ from those of its former
     * node.
     */
    @Test
    void watcherWithADifferentDigestGetsOneFullSnapshot() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2");
        WatchTestClient watcher = watcher("quote", "w1").watch(0);
        // Advances the known version by 60 s, which is past the overlap of ten seconds.
        watcher.replica.apply(new WatcherReplica.Key("quote", "s9"), new HybridTimestamp(1, 0, "w1"), false);
        watcher.states.put("s9", "in_service");
        watcher.version += 60_000L << 10;
        watcher.connectTo(nodes.node("w2").address()).watch(0);
        assertTrue(watcher.full);
        assertEquals(List.of("s1"), List.copyOf(watcher.states.keySet()));
        watcher.watch(0);
        assertFalse(watcher.full);
    }

    /** Guards against a watcher that reads nothing and therefore occupies memory or delays other watchers. */
    @Test
    void slowWatcherIsClosedAndDelaysNoOther() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        for (int i = 0; i < 150; i++) {
            assertEquals(
                    MergeOutcome.APPLIED,
                    nodes.node("w1").put(ConfigurationChange.settings("d" + i, "x".repeat(60_000))));
        }
        nodes.put("w1", "quote", "s1", "in_service");
        List<WatchTestClient> slow = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            WatchTestClient one =
                    new WatchTestClient("quote").connectTo(nodes.node("w1").address(), 4096);
            watchers.add(one);
            slow.add(one);
            // A peer gets all entries, here 9 MB, which exceeds the socket buffers.
            one.get("/registry/instances?peer=slow" + i);
        }
        WatchTestClient other = watcher("quote", "w1").watch(0);
        for (int i = 0; i < 20; i++) {
            other.sendWatch(20_000, "");
            long startNs = System.nanoTime();
            nodes.put("w1", "quote", "s" + i, "terminating");
            other.receive();
            assertTrue((System.nanoTime() - startNs) / 1e6 < 1000, "slow watchers must not delay another one");
        }
        ControlNodeCluster.await(
                "all slow watchers are closed",
                () -> nodes.node("w1").watchCounters().slowClosed() == 10);
        for (WatchTestClient one : slow) {
            one.awaitClose();
        }
        assertEquals(200, other.watch(0).status);
    }

    @Test
    void secondRequestBeforeTheResponseClosesTheConnection() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        WatchTestClient watcher = watcher("quote", "w1").watch(0);
        watcher.sendWatch(20_000, "").sendWatch(20_000, "");
        watcher.awaitClose();
        assertEquals(0, nodes.node("w1").watchCounters().waiting());
    }

    /** All watchers reconnect at the same time without known entries. Each requests three services. */
    @Test
    void thousandWatchersReconnectSimultaneously() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        putThousandEndpoints();
        long startNs = System.nanoTime();
        List<WatchTestClient> fleet = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            fleet.add(watcher("service" + i % 110 + ",service" + (i + 1) % 110 + ",service" + (i + 2) % 110, "w1")
                    .sendWatch(0, ""));
        }
        long bytes = 0;
        for (WatchTestClient one : fleet) {
            one.receive();
            assertTrue(one.full && one.listedEndpoints() >= 27);
            bytes += one.bytes;
        }
        System.out.println("1,000 watchers of 3 of 110 services reconnected to one node: "
                + (System.nanoTime() - startNs) / 1_000_000 + " ms, " + bytes / 1000 + " kB in total");
        assertTrue(
                nodes.node("w1").watchCounters().encodedBodies() <= 110,
                "each body must be encoded once for all watchers that lack the same entries");
        nodes.put("w1", "service7", "s7", "terminating");
        for (WatchTestClient one : fleet) {
            one.watch(0);
            assertFalse(one.full);
            assertEquals(one.states.containsKey("s7") ? 1 : 0, one.listedEndpoints());
        }
    }

    /** Tests the same for watchers of all services, which is what the platform's protocol requests. */
    @Test
    void thousandWatchersGetAFullSnapshotSimultaneously() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        putThousandEndpoints();
        long startNs = System.nanoTime();
        List<WatchTestClient> fleet = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            fleet.add(watcher("", "w1").sendWatch(0, ""));
        }
        long bytes = 0;
        for (WatchTestClient one : fleet) {
            bytes += one.read().bytes;
            one.text = "";
        }
        System.out.println("1,000 full snapshots of 1,000 endpoints from one node: "
                + (System.nanoTime() - startNs) / 1_000_000 + " ms, " + bytes / 1_000_000 + " MB in total");
        assertEquals(
                1, nodes.node("w1").watchCounters().encodedBodies(), "the body must be encoded once for all watchers");
    }

    private void putThousandEndpoints() {
        for (int i = 0; i < 1000; i++) {
            nodes.put("w1", "service" + i % 110, "s" + i, "in_service");
        }
    }

    @Test
    void appliedAndRejectedVersionsAreReported() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2");
        nodes.node("w1").put(ConfigurationChange.settings("base", "one"));
        nodes.awaitEqual("w1", "w2");
        WatchTestClient watcher = watcher("quote", "w2");
        watcher.sendWatch(0, "&settings=base").receive();
        Map<?, ?> document = (Map<?, ?>) ((List<?>) watcher.response.get("settings")).get(0);
        assertEquals("one", document.get("text"));
        watcher.sendWatch(
                        0, "&settings=base&inforce=5.0.w1&refused=" + document.get("stamp") + "&why=no%20such%20class")
                .receive();
        ControlNodeCluster.await("the other node reports the applied and the rejected version", () -> {
            String status = Json.text(nodes.node("w1").status().toJson());
            return status.contains("\"oldest\":\"5.0.w1\",\"oldest_at\":[\"w1\"],\"refusals\":1")
                    && status.contains("no such class");
        });
    }
}
