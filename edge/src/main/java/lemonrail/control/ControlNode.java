package lemonrail.control;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lemonrail.admin.AdminServer;
import lemonrail.config.ControlConfig;
import lemonrail.config.ControlConfig.Peer;
import lemonrail.core.replication.AppliedVersions;
import lemonrail.core.replication.MergeOutcome;
import lemonrail.core.replication.MergeResult;
import lemonrail.core.replication.ReplicatedStore;
import lemonrail.core.replication.ReplicatedStore.Bounds;
import lemonrail.core.replication.VersionedEntry;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSink;
import lemonrail.net.Sockets;
import lemonrail.time.Clock;

/**
 * One control node: its replicated store, the watches that it serves, and the replication from its peers, on
 * one event loop. It accepts writes without a quorum, and goes on by itself when it reaches no peer. Public
 * methods may be called from any thread.
 */
public final class ControlNode {

    /** The interval at which a changed store is persisted and old removals are forgotten. */
    private static final int MAINTENANCE_INTERVAL_MS = 5_000;
    /** A node that starts from a snapshot waits this long for a peer, which may have newer data. */
    private static final int WAIT_FOR_PEER_MS = 2_000;

    private final ControlConfig config;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final LoopCalls calls;
    private final Clock clock = new Clock();
    private final EventLog log;
    private final ReplicatedStore store;
    private final AppliedVersions appliedVersions = new AppliedVersions();
    private final PeerMembership peers;
    private final SnapshotPersister snapshots;
    private final NodeStatusReporter reporter;
    private final WatchServer watchServer;
    private final AdminServer adminServer;
    private boolean stopped;

    private ControlNode(ControlConfig config, LogSink sink) {
        this.config = config;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("control"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        calls = new LoopCalls(loop);
        log = new EventLog(clock, sink).forComponent("control");
        long startedAtMs = nowMs();
        store = new ReplicatedStore(config.name(), Bounds.DEFAULT, startedAtMs);
        String bootId = config.name() + "-" + Long.toString(startedAtMs, Character.MAX_RADIX);
        peers = new PeerMembership(loop, clock, log, config.name(), config.region(), this::onPeerResponse);
        snapshots = new SnapshotPersister(config.snapshotFile(), store, clock, log, startedAtMs);
        reporter = new NodeStatusReporter(config, bootId, clock, store, peers, snapshots, appliedVersions);
        watchServer = new WatchServer(new WatchContext(
                loop,
                clock,
                log,
                store,
                appliedVersions,
                reporter,
                bootId,
                config.maxWatchers(),
                config.responseIntervalMs(),
                new WatchResponseCache(store)));
        adminServer = new AdminServer(
                loop, Sockets.BUFFERS, new ControlAdminApi(this), ControlAdminApi.MAX_BODY_BYTES, log::error);
    }

    /** Creates a node with this configuration, which listens from {@link #open} on. */
    public static ControlNode create(ControlConfig config, LogSink sink) {
        return new ControlNode(config, sink);
    }

    /** Loads the snapshot, opens the listeners and starts the replication from the peers. */
    public void open() throws IOException {
        try {
            if (snapshots.isEnabled()) {
                calls.call(this::loadSnapshot);
            }
            awaitBound("control.address", config.address(), watchServer.listen(config.address()));
            if (config.admin() != null) {
                awaitBound("admin.address", config.admin(), adminServer.listen(config.admin()));
            }
        } catch (IOException | RuntimeException e) {
            stop();
            throw e;
        }
        loop.execute(() -> config.peers().forEach(peers::add));
        loop.scheduleWithFixedDelay(
                this::runMaintenance, MAINTENANCE_INTERVAL_MS, MAINTENANCE_INTERVAL_MS, TimeUnit.MILLISECONDS);
        log.info(
                "serving",
                "control node " + config.name() + " of region " + config.region() + " serves at " + address() + " with "
                        + config.peers().size() + " other nodes",
                "address",
                address());
    }

    private Void loadSnapshot() throws IOException {
        if (!snapshots.load()) {
            return null;
        }
        if (config.peers().isEmpty()) {
            store.markReady();
        } else {
            loop.schedule(store::markReady, WAIT_FOR_PEER_MS, TimeUnit.MILLISECONDS);
        }
        return null;
    }

    private static void awaitBound(String field, InetSocketAddress address, ChannelFuture bound) throws IOException {
        if (!bound.awaitUninterruptibly().isSuccess()) {
            throw new IOException(field + ": cannot listen on " + address + ": "
                    + bound.cause().getMessage());
        }
    }

    private long nowMs() {
        return (long) clock.now();
    }

    /** Returns where sidecars and peers watch. */
    public InetSocketAddress address() {
        return watchServer.address();
    }

    /** Returns the address of the admin API. */
    public InetSocketAddress adminAddress() {
        return adminServer.address();
    }

    /** Returns the node's name. */
    public String name() {
        return config.name();
    }

    /** Returns this node as a peer of another one. */
    public Peer asPeer() {
        return new Peer(config.name(), address(), config.region());
    }

    /** Returns the event loop, so that its load can be measured. */
    public EventLoop eventLoop() {
        return loop;
    }

    /** Replicates from a peer from now on. */
    public void addPeer(Peer peer) {
        calls.run(() -> peers.add(peer));
    }

    /** Stops or resumes all exchange with a peer, as tests and experiments need it. */
    public void setPartitioned(String peer, boolean partitioned) {
        calls.run(() -> {
            peers.setPartitioned(peer, partitioned);
            if (partitioned) {
                watchServer.closePeerConnections(peer);
            }
        });
    }

    /** Returns whether the node serves its entries and accepts writes. */
    public boolean isReady() {
        return calls.query(store::isReady);
    }

    /** Declares the local data complete: done once, at the first node of a new cluster. */
    public void bootstrap() {
        calls.run(() -> {
            store.markReady();
            log.info("begun", "bootstrapped by an operator with " + store.liveCount() + " entries");
        });
    }

    /**
     * Writes a change, which is replicated; one that is older than the stored version changes nothing.
     *
     * @throws IllegalStateException if the node is not ready
     */
    public MergeOutcome put(ConfigurationChange change) {
        return calls.query(() -> {
            MergeOutcome outcome = store.writeAsOf(
                    nowMs(), change.asOfMs(), change.topic(), change.id(), change.removed(), change.body());
            if (outcome == MergeOutcome.APPLIED) {
                onTopicsChanged(Set.of(change.topic()));
            }
            return outcome;
        });
    }

    private void onTopicsChanged(Set<String> topics) {
        snapshots.onStoreChanged();
        watchServer.onTopicsChanged(topics);
    }

    private void onPeerResponse(Peer peer, PeerResponse response) {
        MergeResult result = store.mergeAll(nowMs(), response.entries(), response.acknowledgedVersions(), peer.name());
        if (!store.isReady()) {
            if (!response.full()) {
                throw new IllegalArgumentException("the first response is no full snapshot");
            }
            store.markReady();
            log.info("ready", "ready with " + store.liveCount() + " entries from " + peer.name());
        }
        if (result.rejectedCount() > 0) {
            log.warnRateLimited(
                    "items_refused",
                    "entries of node " + peer.name() + " were rejected",
                    result.rejectedCount(),
                    "node",
                    peer.name());
        }
        if (result.appliedCount() > 0) {
            onTopicsChanged(result.changedTopics());
        }
    }

    private void runMaintenance() {
        try {
            store.expireTombstones(nowMs());
            snapshots.persistIfDue();
        } catch (RuntimeException e) {
            log.error("maintenance of the store failed", e);
        }
    }

    /** Returns an entry's body, as JSON or a document, or null if it is absent or removed. */
    public String liveBody(String topic, String id) {
        VersionedEntry entry = entry(topic, id);
        return entry == null || entry.removed() ? null : entry.body();
    }

    /** Returns an entry's timestamp in its encoded form, or empty if there never was such an entry. */
    public String encodedTimestamp(String topic, String id) {
        VersionedEntry entry = entry(topic, id);
        return entry == null ? "" : entry.timestamp().encode();
    }

    /** Returns the stored version of an entry, which may be a removal, or null. */
    VersionedEntry entry(String topic, String id) {
        return calls.query(() -> store.get(topic, id));
    }

    /** Returns the live entries of a topic. */
    List<VersionedEntry> liveEntries(String topic) {
        return calls.query(() -> store.liveEntries(List.of(topic)));
    }

    /** Returns the digest over all entries: nodes with equal entries have equal digests. */
    public long digest() {
        return calls.query(() -> store.digest(store.topics()));
    }

    /** Returns the digest over some topics, as a watcher of them with all their entries calculates it. */
    public long digest(List<String> topics) {
        return calls.query(() -> store.digest(topics));
    }

    /** Returns the figures of the watch server. */
    public WatchCounters watchCounters() {
        return calls.query(watchServer::counters);
    }

    /** Sets the observer of the traffic between this node and its watchers. */
    public void setWatchObserver(WatchObserver observer) {
        calls.run(() -> watchServer.setObserver(observer));
    }

    /** Returns the node's state as operators see it. */
    public ControlNodeStatus status() {
        return calls.query(reporter::status);
    }

    /** Stops the node as a kill does, but persists the store first; returns when its threads have ended. */
    public void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        calls.run(() -> {
            peers.stopAll();
            watchServer.close();
            runMaintenance();
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
