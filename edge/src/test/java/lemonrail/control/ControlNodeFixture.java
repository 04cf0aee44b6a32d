package lemonrail.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;

/** Base class for tests with control nodes and watchers. Closes them after each test. */
@Timeout(60)
abstract class ControlNodeFixture {

    ControlNodeCluster nodes = new ControlNodeCluster();
    final List<WatchTestClient> watchers = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (WatchTestClient watcher : watchers) {
            watcher.close();
        }
        nodes.close();
    }

    WatchTestClient watcher(String services, String node) throws IOException {
        WatchTestClient watcher =
                new WatchTestClient(services).connectTo(nodes.node(node).address());
        watchers.add(watcher);
        return watcher;
    }
}
