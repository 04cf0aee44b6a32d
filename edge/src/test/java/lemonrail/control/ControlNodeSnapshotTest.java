package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lemonrail.config.ControlConfig.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests control nodes that start from their stored snapshots, on real sockets. */
class ControlNodeSnapshotTest extends ControlNodeFixture {

    @TempDir
    Path folder;

    @Test
    void entriesPersistAcrossRestart() throws Exception {
        ControlNode first = nodes.start("w1", "west", ControlNodeCluster.anyPort(), folder);
        first.bootstrap();
        nodes.put("w1", "quote", "s1", "terminating");
        first.put(ConfigurationChange.settings("base", "# nothing"));
        long digest = first.digest();
        first.stop();
        ControlNode restarted = nodes.start("w1", "west", ControlNodeCluster.anyPort(), folder);
        assertTrue(restarted.isReady());
        assertEquals(digest, restarted.digest());
        assertEquals("# nothing", restarted.liveBody("settings:base", "base"));
        nodes.put("w1", "quote", "s1", "in_service");
    }

    /** Guards against a node that serves an outdated snapshot before it has received the entries of its peers. */
    @Test
    void storedSnapshotIsServedOnlyAfterPeerReplicationOrTimeout() throws Exception {
        nodes = ControlNodeCluster.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        ControlNode firstRun = nodes.start("w2", "west", ControlNodeCluster.anyPort(), folder);
        firstRun.addPeer(nodes.node("w1").asPeer());
        ControlNodeCluster.await("the node is ready", firstRun::isReady);
        firstRun.stop();
        nodes.put("w1", "quote", "s1", "terminating");
        ControlNode restarted = nodes.createWithPeers(
                "w2",
                ControlNodeCluster.anyPort(),
                folder,
                List.of(nodes.node("w1").asPeer()));
        restarted.open();
        WatchTestClient watcher = new WatchTestClient("quote").connectTo(restarted.address());
        watchers.add(watcher);
        ControlNodeCluster.await("the node is ready", restarted::isReady);
        assertEquals("terminating", watcher.watch(0).states.get("s1"));
        restarted.stop();
        nodes.node("w1").stop();
        ControlNode isolated = nodes.createWithPeers(
                "w2",
                ControlNodeCluster.anyPort(),
                folder,
                List.of(nodes.node("w1").asPeer()));
        long startedNs = System.nanoTime();
        isolated.open();
        ControlNodeCluster.await("the node is ready without its peer", isolated::isReady);
        assertTrue(
                (System.nanoTime() - startedNs) / 1e6 > 1900,
                "the node must wait for its peer before it serves the snapshot");
        assertTrue(
                isolated.status().replicationAgeMs() > 1900,
                "the replication age must include the age of the snapshot");
        assertEquals(
                "terminating",
                watcher.connectTo(isolated.address()).watch(0).states.get("s1"));
    }

    /** Guards against nodes that wait for each other when all of them restart at the same time. */
    @Test
    void simultaneouslyRestartedNodesMergeTheirSnapshots() throws Exception {
        List<ControlNode> stopped = new ArrayList<>();
        for (String name : List.of("w1", "w2")) {
            stopped.add(nodes.start(name, "west", ControlNodeCluster.anyPort(), folder));
        }
        nodes.join();
        nodes.put("w1", "quote", "s1", "terminating");
        nodes.awaitEqual("w1", "w2");
        stopped.get(0).stop();
        nodes.put("w2", "quote", "s2", "in_service");
        stopped.get(1).stop();
        long startedNs = System.nanoTime();
        List<ControlNode> restarted = new ArrayList<>();
        for (ControlNode node : stopped) {
            List<Peer> peers = stopped.stream()
                    .filter(other -> other != node)
                    .map(ControlNode::asPeer)
                    .toList();
            ControlNode fresh = nodes.createWithPeers(node.name(), node.address(), folder, peers);
            restarted.add(fresh);
            fresh.open();
        }
        ControlNodeCluster.await(
                "both nodes are ready", () -> restarted.stream().allMatch(ControlNode::isReady));
        assertTrue(
                (System.nanoTime() - startedNs) / 1e6 < 1900,
                "nodes that reach all peers must not wait for the time-out");
        nodes.awaitEqual("w1", "w2");
        assertTrue(restarted.get(0).liveBody("quote", "s2").contains("in_service"));
        assertTrue(restarted.get(1).liveBody("quote", "s1").contains("terminating"));
    }
}
