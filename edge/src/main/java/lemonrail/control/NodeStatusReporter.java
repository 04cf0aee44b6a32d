package lemonrail.control;

import java.util.List;
import java.util.Map;
import lemonrail.config.ControlConfig;
import lemonrail.core.replication.AppliedVersions;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.time.Clock;

/** Collects a node's status for operators and for the head of each watch response. Belongs to the event loop. */
final class NodeStatusReporter implements WatchServer.Node {

    /** How long responses to peers reuse a watcher summary. */
    private static final int WATCHER_SUMMARY_MAX_AGE_MS = 500;

    private final ControlConfig config;
    private final String bootId;
    private final Clock clock;
    private final ReplicatedStore store;
    private final PeerMembership peers;
    private final SnapshotPersister snapshots;
    private final AppliedVersions appliedVersions;
    private Map<String, Object> cachedWatcherSummary;
    private double watcherSummaryValidUntilMs;

    NodeStatusReporter(
            ControlConfig config,
            String bootId,
            Clock clock,
            ReplicatedStore store,
            PeerMembership peers,
            SnapshotPersister snapshots,
            AppliedVersions appliedVersions) {
        this.config = config;
        this.bootId = bootId;
        this.clock = clock;
        this.store = store;
        this.peers = peers;
        this.snapshots = snapshots;
        this.appliedVersions = appliedVersions;
    }

    /** Returns the node's status for operators. */
    ControlNodeStatus status() {
        List<VersionedEntry> settings = store.topics().stream()
                .filter(VersionedEntry::isSettingsTopic)
                .flatMap(topic -> store.liveEntries(List.of(topic)).stream())
                .toList();
        return new ControlNodeStatus(
                config.name(),
                config.region(),
                store.isReady(),
                store.currentVersion(nowMs()),
                store.liveCount(),
                store.tombstoneCount(),
                peers.replicationAgeMs(snapshots.dataTimeMs()),
                peers.regionAgesMs(),
                peers.statuses(),
                WatcherSummary.of(appliedVersions, nowMs()),
                settings);
    }

    @Override
    public WatchResponseHead responseHead(WatchRequest request) {
        return new WatchResponseHead(
                store.currentVersion(nowMs()),
                bootId,
                peers.replicationAgeMs(snapshots.dataTimeMs()),
                peers.regionAgesMs(),
                request.isFromPeer() ? recentWatcherSummary() : null);
    }

    @Override
    public boolean servesPeersUntilReady() {
        return snapshots.isLoaded();
    }

    @Override
    public boolean isPartitioned(String peer) {
        return peers.isPartitioned(peer);
    }

    private Map<String, Object> recentWatcherSummary() {
        if (cachedWatcherSummary == null || clock.now() >= watcherSummaryValidUntilMs) {
            cachedWatcherSummary = WatcherSummary.of(appliedVersions, nowMs()).toJson();
            watcherSummaryValidUntilMs = clock.now() + WATCHER_SUMMARY_MAX_AGE_MS;
        }
        return cachedWatcherSummary;
    }

    private long nowMs() {
        return (long) clock.now();
    }
}
