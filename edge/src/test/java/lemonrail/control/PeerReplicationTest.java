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

    /**
     * The node fails after it has replicated a change to one peer, but before it has sent the change to one of its
     * watchers.
     */
    @Test
    void nodeFailureDuringReplicationCausesNoFullSnapshot() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2", "e1");
        for (int i = 0; i < 100; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "e1");
        WatchTestClient westWatcher = watcher("quote", "w1").watch(0);
        WatchTestClient eastWatcher = watcher("quote", "e1").watch(0);
        nodes.node("w1").setPartitioned("e1", true);
        nodes.put("w1", "quote", "s7", "terminating");
        nodes.awaitState("w2", "quote", "s7", "terminating");
        nodes.node("w1").stop();
        eastWatcher.watchUntil("s7", "terminating");
        assertFalse(eastWatcher.full);
        westWatcher.connectTo(nodes.node("w2").address());
        long bytesBefore = westWatcher.bytes;
        westWatcher.watchUntil("s7", "terminating");
        assertFalse(westWatcher.full, "a watcher must not get a full snapshot after its node failed");
        long receivedBytes = westWatcher.bytes - bytesBefore;
        westWatcher.watch(0);
        assertFalse(westWatcher.full);
        // Entries received within WatchServer.VERSION_OVERLAP_MS before the watcher's version are sent again. In this
        // test all entries are recent enough.
        assertTrue(receivedBytes > 0);
        assertEquals(100, westWatcher.states.size());
    }

    /**
     * The other node received the change before the version that the watcher resumes from. The watcher's former
     * node never received the change.
     */
    @Test
    void changeMissedByTheFormerNodeIsSentAsADelta() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w1", "quote", "s2", "in_service");
        nodes.awaitEqual("w1", "w2");
        nodes.node("w1").setPartitioned("w2", true);
        nodes.put("w2", "quote", "s1", "terminating");
        WatchTestClient watcher = watcher("quote", "w1").watch(0);
        assertEquals("in_service", watcher.states.get("s1"));
        watcher.connectTo(nodes.node("w2").address()).watch(0);
        assertFalse(watcher.full);
        assertEquals("terminating", watcher.states.get("s1"));
    }

    /** Guards against a node that restarts without data and then sends its watchers a full or an empty snapshot. */
    @Test
    void versionsContinueAfterANodeRestartsWithoutData() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2");
        for (int i = 0; i < 50; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2");
        WatchTestClient watcher = watcher("quote", "w2").watch(0);
        long formerVersion = watcher.version;
        ControlNode stoppedNode = nodes.node("w2");
        stoppedNode.stop();
        ControlNode restarted = nodes.start("w2", "west", stoppedNode.address(), null);
        assertEquals(503, watcher.connectTo(restarted.address()).watch(0).status, "a node without data is not ready");
        assertEquals(50, watcher.states.size());
        nodes.put("w1", "quote", "s3", "terminating");
        restarted.addPeer(nodes.node("w1").asPeer());
        ControlNodeCluster.await("the node is ready", restarted::isReady);
        watcher.watchUntil("s3", "terminating");
        assertFalse(watcher.full);
        assertTrue(watcher.version > formerVersion, "versions must continue after the restart");
        watcher.watch(0);
        assertFalse(watcher.full, "a watcher with an equal digest must not get a full snapshot");
        assertEquals(0, watcher.listedEndpoints());
        assertEquals(50, watcher.states.size());
    }

    /** The third node receives the drain first, and then an older version of the same entry from another peer. */
    @Test
    void drainIsNotRevertedByAnOlderVersionFromAnotherPeer() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2", "w3");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2", "w3");
        for (String name : List.of("w2", "w3")) {
            nodes.node("w1").setPartitioned(name, true);
            nodes.node(name).setPartitioned("w1", true);
        }
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.put("w2", "quote", "s1", "terminating");
        nodes.awaitState("w3", "quote", "s1", "terminating");
        WatchTestClient watcher = watcher("quote", "w3").watch(0);
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

    /**
     * Each region drains and adds endpoints during the partition. After the merge no endpoint disappears and
     * reappears at the watchers.
     */
    @Test
    void partitionedRegionsAreMergedWithoutAFullSnapshot() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2", "e1", "e2");
        for (int i = 0; i < 20; i++) {
            nodes.put("w1", "quote", "s" + i, "in_service");
        }
        nodes.awaitEqual("w1", "w2", "e1", "e2");
        WatchTestClient west = watcher("quote", "w2").watch(0);
        WatchTestClient east = watcher("quote", "e2").watch(0);
        setRegionsPartitioned(true);
        nodes.put("w1", "quote", "s1", "terminating");
        nodes.put("e1", "quote", "s2", "terminating");
        nodes.put("e1", "quote", "new", "in_service");
        nodes.node("w1").put(ConfigurationChange.removeEndpoint("quote", "s3"));
        west.watchUntil("s1", "terminating");
        east.watchUntil("s2", "terminating");
        west.watchUntil("s3", null);
        east.watchUntil("new", "in_service");
        assertEquals(
                "in_service",
                east.states.get("s1"),
                "a change in the other region must not arrive during the partition");
        ControlNodeCluster.await("the replication age of the other region is reported", () -> {
            Map<String, Long> ages = nodes.node("w2").status().regionAgesMs();
            return ages.get("east") > 1200;
        });
        assertTrue(
                nodes.node("w2").status().replicationAgeMs() < 1200, "replication within the own region must continue");
        west.watch(0);
        assertTrue(((Map<?, ?>) west.response.get("regions")).containsKey("east"));
        setRegionsPartitioned(false);
        nodes.awaitEqual("w1", "w2", "e1", "e2");
        for (WatchTestClient watcher : List.of(west, east)) {
            watcher.watchUntil("s1", "terminating");
            watcher.watchUntil("s2", "terminating");
            watcher.watchUntil("s3", null);
            watcher.watchUntil("new", "in_service");
            assertFalse(watcher.full);
            assertTrue(watcher.listedEndpoints() <= 4, "the response must list only changed endpoints");
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
    void staleNodeReportsItsReplicationAge() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2", "w3");
        WatchTestClient watcher = watcher("quote", "w3").watch(0);
        assertTrue((Double) watcher.response.get("age_ms") < 2000);
        for (String other : List.of("w1", "w2")) {
            nodes.node("w3").setPartitioned(other, true);
        }
        ControlNodeCluster.await("the replication age is reported", () -> {
            try {
                return (Double) watcher.watch(100).response.get("age_ms") > 2000;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Guards against one undecodable entry, from a node of another version, that blocks the entries after it. */
    @Test
    void undecodableEntryDoesNotBlockOtherEntries() throws Exception {
        nodes.start("w1", "west");
        String response = "{\"version\":5,\"full\":true,\"node\":\"x-1\",\"heard\":{\"x\":\"7.0.x\"},"
                + "\"servers\":["
                + "{\"id\":\"s1\",\"addr\":\"10.0.0.1:1\",\"state\":\"asleep\",\"service\":\"quote\","
                + "\"stamp\":\"5.0.x\"},"
                + "{\"id\":\"s2\",\"addr\":\"10.0.0.1:1\",\"state\":\"in_service\",\"service\":\"quote\","
                + "\"stamp\":\"6.0.x\",\"colour\":\"blue\"}],\"settings\":[]}";
        try (java.net.ServerSocket peerSocket =
                new java.net.ServerSocket(0, 5, java.net.InetAddress.getLoopbackAddress())) {
            nodes.node("w1")
                    .addPeer(new ControlConfig.Peer(
                            "x",
                            new java.net.InetSocketAddress(peerSocket.getInetAddress(), peerSocket.getLocalPort()),
                            "west"));
            try (java.net.Socket socket = peerSocket.accept()) {
                socket.getOutputStream()
                        .write(("HTTP/1.1 200 OK\r\nContent-Length: " + response.length() + "\r\n\r\n" + response)
                                .getBytes(StandardCharsets.ISO_8859_1));
                ControlNodeCluster.await("the node is ready", nodes.node("w1")::isReady);
                assertTrue(nodes.node("w1").liveBody("quote", "s2").contains("in_service"));
                assertEquals(null, nodes.node("w1").liveBody("quote", "s1"));
            }
        }
    }

    @Test
    void newNodeReplicatesFromTheRemainingPeer() throws Exception {
        nodes = ControlNodeCluster.of("w1", "w2");
        nodes.put("w1", "quote", "s1", "in_service");
        nodes.awaitEqual("w1", "w2");
        nodes.node("w1").stop();
        nodes.put("w2", "quote", "s1", "terminating");
        ControlNode newNode = nodes.start("w3", "west");
        newNode.addPeer(nodes.node("w2").asPeer());
        ControlNodeCluster.await("the node is ready", newNode::isReady);
        assertTrue(newNode.liveBody("quote", "s1").contains("terminating"));
    }
}
