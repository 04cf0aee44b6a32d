package lemonrail.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import lemonrail.core.replication.AppliedVersions;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/**
 * What all watches of a node share.
 *
 * @param bootId identifies this process; versions of another one must be converted
 * @param maxWatchers watcher connections beyond which requests are rejected
 * @param responseGapMs the minimum time between two updates to one watcher
 */
record WatchContext(
        EventLoop loop,
        Clock clock,
        EventLog log,
        ReplicatedStore store,
        AppliedVersions appliedVersions,
        WatchServer.Node node,
        String bootId,
        int maxWatchers,
        double responseGapMs,
        WatchResponseCache responses) {

    /** Returns the topics of a request; one for all services means those that exist now. */
    List<String> topics(WatchRequest request) {
        if (!request.allServices()) {
            return request.topics();
        }
        List<String> topics = new ArrayList<>(request.topics());
        store.topics().stream().filter(WatchRequest::isServiceTopic).forEach(topics::add);
        return topics;
    }
}
