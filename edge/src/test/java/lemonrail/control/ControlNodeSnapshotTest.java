package lemonrail.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import lemonrail.config.ControlConfig.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Control nodes that start from their snapshots, on real sockets. */
class ControlNodeSnapshotTest extends ControlNodeFixture {

    @TempDir
    Path folder;

    @Test
    void entriesArePersistedForTheNextStart() throws Exception {
        ControlNode first = nodes.start("w1", "west", Nodes.anyPort(), folder);
        first.bootstrap();
        nodes.put("w1", "quote", "s1", "terminating");
        first.put(ConfigurationChange.settings("base", "# nothing"));
        long digest = first.digest();
        first.stop();
        ControlNode restarted = nodes.start("w1", "west", Nodes.anyPort(), folder);
        assertTrue(restarted.isReady());
        assertEquals(digest, restarted.digest());
        assertEquals("# nothing", restarted.liveBody("settings:base", "base"));
        nodes.put("w1", "quote", "s1", "in_service");
    }

    /** Guards against a node that serves an old snapshot before it has received from its peers. */
    @Test
    void aSnapshotIsServedOnlyAfterAPeerWasReceivedOrAWait() throws Exception {
        nodes = Nodes.of("w1");
        nodes.put("w1", "quote", "s1", "in_service");
        ControlNode former = nodes.start("w2", "west", Nodes.anyPort(), folder);
        former.addPeer(nodes.node("w1").asPeer());
        Nodes.await("it is ready", former::isReady);
        former.stop();
        nodes.put("w1", "quote", "s1", "terminating");
        ControlNode restarted = nodes.createWithPeers(
                "w2", Nodes.anyPort(), folder, List.of(nodes.node("w1").asPeer()));
        restarted.open();
        Watcher watcher = new Watcher("quote").connectTo(restarted.address());
        watchers.add(watcher);
        Nodes.await("it is ready", restarted::isReady);
        assertEquals("terminating", watcher.watch(0).states.get("s1"));
        restarted.stop();
        nodes.node("w1").stop();
        ControlNode alone = nodes.createWithPeers(
                "w2", Nodes.anyPort(), folder, List.of(nodes.node("w1").asPeer()));
        long startedNs = System.nanoTime();
        alone.open();
        Nodes.await("it is ready alone", alone::isReady);
        assertTrue((System.nanoTime() - startedNs) / 1e6 > 1900, "not at once");
        assertTrue(alone.status().replicationAgeMs() > 1900, "the age of the snapshot is reported");
        assertEquals(
                "terminating",
                watcher.connectTo(alone.address()).watch(0).states.get("s1"));
    }

    /** Guards against nodes that wait for each other after all were down. */
    @Test
    void nodesThatWereAllDownStartFromTheirMergedSnapshots() throws Exception {
        List<ControlNode> former = new ArrayList<>();
        for (String name : List.of("w1", "w2")) {
            former.add(nodes.start(name, "west", Nodes.anyPort(), folder));
        }
        nodes.join();
        nodes.put("w1", "quote", "s1", "terminating");
        nodes.awaitEqual("w1", "w2");
        former.get(0).stop();
        nodes.put("w2", "quote", "s2", "in_service");
        former.get(1).stop();
        long startedNs = System.nanoTime();
        List<ControlNode> restarted = new ArrayList<>();
        for (ControlNode node : former) {
            List<Peer> peers = former.stream()
                    .filter(other -> other != node)
                    .map(ControlNode::asPeer)
                    .toList();
            ControlNode fresh = nodes.createWithPeers(node.name(), node.address(), folder, peers);
            restarted.add(fresh);
            fresh.open();
        }
        Nodes.await("both are ready", () -> restarted.stream().allMatch(ControlNode::isReady));
        assertTrue((System.nanoTime() - startedNs) / 1e6 < 1900, "they do not wait");
        nodes.awaitEqual("w1", "w2");
        assertTrue(restarted.get(0).liveBody("quote", "s2").contains("in_service"));
        assertTrue(restarted.get(1).liveBody("quote", "s1").contains("terminating"));
    }
}
