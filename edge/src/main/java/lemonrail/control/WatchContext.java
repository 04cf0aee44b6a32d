package lemonrail.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import lemonrail.core.replication.AppliedVersions;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/**
 * What all watches of a node share.
 *
 * @param boot of this node: versions are its own
 * @param mostWatchers connections of watchers beyond which calls are turned away
 * @param gapMs between two answers with news to one watcher
 */
record WatchContext(
        EventLoop loop,
        Clock clock,
        EventLog log,
        ReplicatedStore store,
        AppliedVersions inForce,
        WatchServer.Node node,
        String boot,
        int mostWatchers,
        double gapMs,
        WatchResponseCache answers) {

    /** The topics that a call is about. */
    List<String> topics(WatchRequest call) {
        if (!call.all()) {
            return call.topics();
        }
        List<String> all = new ArrayList<>(call.topics());
        store.topics().stream()
                .filter(topic -> !topic.startsWith(VersionedEntry.SETTINGS_TOPIC_PREFIX))
                .forEach(all::add);
        return all;
    }
}
