package lemonrail.control;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;

/** Control nodes and watchers of a test, which are closed after it. */
@Timeout(60)
abstract class ControlNodeFixture {

    Nodes nodes = new Nodes();
    final List<Watcher> watchers = new ArrayList<>();

    @AfterEach
    void stop() throws IOException {
        for (Watcher watcher : watchers) {
            watcher.close();
        }
        nodes.close();
    }

    Watcher watcher(String services, String node) throws IOException {
        Watcher watcher = new Watcher(services).connectTo(nodes.node(node).address());
        watchers.add(watcher);
        return watcher;
    }
}
