package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import lemonrail.config.ControlConfig;
import lemonrail.core.replication.MergeOutcome;
import org.junit.jupiter.api.Test;

/** Replication between control nodes on real sockets: failures, restarts and partitions. */
class PeerReplicationTest extends ControlNodeFixture {

    /** A node fails when it has replicated a change to one peer only, and not to one of its watchers. */
    @Test
    void aNodeThatFailsDuringAChangeDelaysNothing() throws Exception {
        nodes = Nodes.of("w1", "w2", "e1");
        for (int i = 0; i < 100; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "e1");
        Watcher lost = watcher("quote", "w1").watch(0);
        Watcher elsewhere = watcher("quote", "e1").watch(0);
        nodes.node("w1").setPartitioned("e1", true);
        nodes.put("w1", "quote", "s7", "terminating");
        nodes.awaitState("w2", "quote", "s7", "terminating");
        nodes.node("w1").stop();
        elsewhere.watchUntil("s7", "terminating");
        assertFalse(elsewhere.full);
        lost.connectTo(nodes.node("w2").address());
        long before = lost.bytes;
        lost.watchUntil("s7", "terminating");
        assertFalse(lost.full, "no full snapshot after a node's failure");
        long tookBytes = lost.bytes - before;
        lost.watch(0);
        assertFalse(lost.full);
        // What arrived within the overlap is sent again: here everything is that recent.
        assertTrue(tookBytes > 0);
        assertEquals(100, lost.states.size());
    }

    /** The other node had the change before the version that the watcher resumes from, its own node never. */
    @Test
    void whatTheFormerNodeNeverReceivedComesAsADelta() throws Exception {
        nodes = Nodes.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w1", "quote", "s2", "in_service");
        nodes.awaitEqual("w1", "w2");
        nodes.node("w1").setPartitioned("w2", true);
        nodes.put("w2", "quote", "s1", "terminating");
        Watcher watcher = watcher("quote", "w1").watch(0);
        assertEquals("in_service", watcher.states.get("s1"));
        watcher.connectTo(nodes.node("w2").address()).watch(0);
        assertFalse(watcher.full);
        assertEquals("terminating", watcher.states.get("s1"));
    }

    /** Guards against a full snapshot, or an empty one, from a node that has restarted empty. */
    @Test
    void versionsContinueAtANodeThatRestartedEmpty() throws Exception {
        nodes = Nodes.of("w1", "w2");
        for (int i = 0; i < 50; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2");
        Watcher watcher = watcher("quote", "w2").watch(0);
        long formerVersion = watcher.version;
        ControlNode before = nodes.node("w2");
        before.stop();
        ControlNode restarted = nodes.start("w2", "west", before.address(), null);
        assertEquals(503, watcher.connectTo(restarted.address()).watch(0).status, "it is not ready yet");
        assertEquals(50, watcher.states.size());
        nodes.put("w1", "quote", "s3", "terminating");
        restarted.addPeer(nodes.node("w1").asPeer());
        Nodes.await("it is ready", restarted::isReady);
        watcher.watchUntil("s3", "terminating");
        assertFalse(watcher.full);
        assertTrue(watcher.version > formerVersion, "versions continue");
        watcher.watch(0);
        assertFalse(watcher.full, "its digest is equal");
        assertEquals(0, watcher.listedEndpoints());
        assertEquals(50, watcher.states.size());
    }

    /** The drain reaches the third node before the older version, which arrives by another path. */
    @Test
    void aDrainIsNotUndoneByAnOlderVersionThatArrivesByAnotherPath() throws Exception {
        nodes = Nodes.of("w1", "w2", "w3");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2", "w3");
        for (String name : List.of("w2", "w3")) {
            nodes.node("w1").setPartitioned(name, true);
            nodes.node(name).setPartitioned("w1", true);
        }
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w2", "quote", "s1", "terminating");
        nodes.awaitState("w3", "quote", "s1", "terminating");
        Watcher watcher = watcher("quote", "w3").watch(0);
        nodes.node("w1").setPartitioned("w3", false);
        nodes.node("w3").setPartitioned("w1", false);
        nodes.awaitEqual("w1", "w2", "w3");
        assertTrue(nodes.node("w1").liveBody("quote", "s1").contains("terminating"));
        assertTrue(nodes.node("w3").liveBody("quote", "s1").contains("terminating"));
        watcher.watch(0);
        assertEquals("terminating", watcher.states.get("s1"));
        assertEquals(
                MergeOutcome.SUPERSEDED,
                nodes.node("w1")
                        .put(ConfigurationChange.endpoint(
                                        "quote", "s1", "{\"addr\":\"10.0.0.1:9000\"}".getBytes(StandardCharsets.UTF_8))
                                .asOf(1_000_000)));
    }

    /** Each side drains and adds during the partition; its watchers see no endpoint go and come back. */
    @Test
    void partitionedRegionsAreMergedWithoutAFullSnapshot() throws Exception {
        nodes = Nodes.of("w1", "w2", "e1", "e2");
        for (int i = 0; i < 20; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "e1", "e2");
        Watcher west = watcher("quote", "w2").watch(0);
        Watcher east = watcher("quote", "e2").watch(0);
        setRegionsPartitioned(true);
        nodes.put("w1", "quote", "s1", "terminating");
        nodes.put("e1", "quote", "s2", "terminating");
        nodes.put("e1", "quote", "new", "in_service");
        nodes.node("w1").put(ConfigurationChange.removeEndpoint("quote", "s3"));
        west.watchUntil("s1", "terminating");
        east.watchUntil("s2", "terminating");
        west.watchUntil("s3", null);
        east.watchUntil("new", "in_service");
        assertEquals("in_service", east.states.get("s1"), "it continues with what it has");
        Nodes.await("the region's age is reported", () -> {
            Map<String, Long> ages = nodes.node("w2").status().regionAgesMs();
            return ages.get("east") > 1200;
        });
        assertTrue(nodes.node("w2").status().replicationAgeMs() < 1200, "its own region is received");
        west.watch(0);
        assertTrue(((Map<?, ?>) west.response.get("regions")).containsKey("east"));
        setRegionsPartitioned(false);
        nodes.awaitEqual("w1", "w2", "e1", "e2");
        for (Watcher watcher : List.of(west, east)) {
            watcher.watchUntil("s1", "terminating");
            watcher.watchUntil("s2", "terminating");
            watcher.watchUntil("s3", null);
            watcher.watchUntil("new", "in_service");
            assertFalse(watcher.full);
            assertTrue(watcher.listedEndpoints() <= 4, "changes only");
            assertEquals(20, watcher.states.size());
        }
        assertEquals(west.replica.digest(), east.replica.digest());
    }

    private void setRegionsPartitioned(boolean partitioned) {
        for (String west : List.of("w1", "w2")) {
            for (String east : List.of("e1", "e2")) {
                nodes.node(west).setPartitioned(east, partitioned);
                nodes.node(east).setPartitioned(west, partitioned);
            }
        }
    }

    @Test
    void aStaleNodeReportsItsReplicationAge() throws Exception {
        nodes = Nodes.of("w1", "w2", "w3");
        Watcher watcher = watcher("quote", "w3").watch(0);
        assertTrue((Double) watcher.response.get("age_ms") < 2000);
        for (String other : List.of("w1", "w2")) {
            nodes.node("w3").setPartitioned(other, true);
        }
        Nodes.await("the age is reported", () -> {
            try {
                return (Double) watcher.watch(100).response.get("age_ms") > 2000;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Guards against one entry of a node of another version that blocks all others. */
    @Test
    void anUndecodableEntryDoesNotBlockTheOthers() throws Exception {
        nodes.start("w1", "west");
        String list = "{\"version\":5,\"full\":true,\"node\":\"x-1\",\"heard\":{\"x\":\"7.0.x\"},"
                + "\"servers\":["
                + "{\"id\":\"s1\",\"addr\":\"10.0.0.1:1\",\"state\":\"asleep\",\"service\":\"quote\","
                + "\"stamp\":\"5.0.x\"},"
                + "{\"id\":\"s2\",\"addr\":\"10.0.0.1:1\",\"state\":\"in_service\",\"service\":\"quote\","
                + "\"stamp\":\"6.0.x\",\"colour\":\"blue\"}],\"settings\":[]}";
        try (java.net.ServerSocket later = new java.net.ServerSocket(0, 5, java.net.InetAddress.getLoopbackAddress())) {
            nodes.node("w1")
                    .addPeer(new ControlConfig.Peer(
                            "x", new java.net.InetSocketAddress(later.getInetAddress(), later.getLocalPort()), "west"));
            try (java.net.Socket socket = later.accept()) {
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.ISO_8859_1));
                Nodes.await("it is ready", nodes.node("w1")::isReady);
                assertTrue(nodes.node("w1").liveBody("quote", "s2").contains("in_service"));
                assertEquals(null, nodes.node("w1").liveBody("quote", "s1"));
            }
        }
    }

    @Test
    void aNewNodeReplicatesFromTheRemainingPeer() throws Exception {
        nodes = Nodes.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2");
        nodes.node("w1").stop();
        nodes.put("w2", "quote", "s1", "terminating");
        ControlNode later = nodes.start("w3", "west");
        later.addPeer(nodes.node("w2").asPeer());
        Nodes.await("it is ready", later::isReady);
        assertTrue(later.liveBody("quote", "s1").contains("terminating"));
    }
}
