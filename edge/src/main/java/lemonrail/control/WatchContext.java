package lemonrail.control;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import lemonrail.core.replication.AppliedVersions;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/**
 * The state and the settings that all watch connections of a node share.
 *
 * @param bootId identifies this process; versions that another process issued must be rewound
 * @param maxWatchers the number of connections above which requests of sidecars are rejected
 * @param minUpdateIntervalMs the minimum time between two updates to one sidecar
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
        double minUpdateIntervalMs,
        WatchResponseCache responses) {

    /** Returns the topics of a request; a request for all services gets the services that exist now. */
    List<String> topics(WatchRequest request) {
        if (!request.allServices()) {
            return request.topics();
        }
        List<String> topics = new ArrayList<>(request.topics());
        store.topics().stream().filter(WatchRequest::isServiceTopic).forEach(topics::add);
        return topics;
    }
}
