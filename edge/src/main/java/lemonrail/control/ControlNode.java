package lemonrail.control;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
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
import lemonrail.lifecycle.EventLoopThreadFactory;
import lemonrail.logging.EventLog;
import lemonrail.logging.LogSink;
import lemonrail.net.Sockets;
import lemonrail.time.Clock;
import lemonrail.time.EventLoopLag;
import lemonrail.time.MonitoringIoHandler;

/**
 * One control node: its replicated store, the watch server and the replication from its peers, all on one event
 * loop. A node accepts writes without a quorum and keeps serving when no peer is reachable. Public methods may be
 * called from any thread.
 */
public final class ControlNode {

    /** The interval at which a changed store is persisted and expired tombstones are removed. */
    private static final int MAINTENANCE_INTERVAL_MS = 5_000;
    /** How long a node that starts from a snapshot waits for a peer, which may have newer data, before it is ready. */
    private static final int WAIT_FOR_PEER_MS = 2_000;

    private final ControlConfig config;
    private final EventLoopThreadFactory threads = new EventLoopThreadFactory("control");
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final EventLoopInvoker loopInvoker;
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
        log = new EventLog(clock, sink).forComponent("control");
        group = new MultiThreadIoEventLoopGroup(
                1,
                threads,
                new MonitoringIoHandler(
                        NioIoHandler.newFactory(),
                        new EventLoopLag(),
                        () -> log.error("the heap has ended", new OutOfMemoryError())));
        loop = (EventLoop) group.next();
        loopInvoker = new EventLoopInvoker(loop);
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
                loop, Sockets.BUFFER_ALLOCATOR, new ControlAdminApi(this), ControlAdminApi.MAX_BODY_BYTES, log::error);
    }

    /** Creates a node with this configuration, which listens from {@link #open} on. */
    public static ControlNode create(ControlConfig config, LogSink sink) {
        return new ControlNode(config, sink);
    }

    /** Loads the snapshot, opens the listeners and starts the replication from the peers. */
    public void open() throws IOException {
        try {
            if (snapshots.isEnabled()) {
                loopInvoker.call(this::loadSnapshot);
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
                "control node " + config.name() + " of region " + config.region() + " listens on " + address()
                        + " and has " + config.peers().size() + " peers",
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

    /** Returns the address that sidecars and peers send their watch requests to. */
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

    /** Returns the peer entry under which another node replicates from this one. */
    public Peer asPeer() {
        return new Peer(config.name(), address(), config.region());
    }

    /** Returns the node's event loop, for measurements of its load. */
    public EventLoop eventLoop() {
        return loop;
    }

    /** Starts to replicate from a peer, and replaces a peer of the same name. */
    public void addPeer(Peer peer) {
        loopInvoker.run(() -> peers.add(peer));
    }

    /** Stops or resumes all traffic with a peer; simulates a network partition in tests and experiments. */
    public void setPartitioned(String peer, boolean partitioned) {
        loopInvoker.run(() -> {
            peers.setPartitioned(peer, partitioned);
            if (partitioned) {
                watchServer.closePeerConnections(peer);
            }
        });
    }

    /** Returns whether the node serves sidecars and accepts writes. */
    public boolean isReady() {
        return loopInvoker.query(store::isReady);
    }

    /** Declares the local data complete, so that the node is ready; needed once, at the first node of a new cluster. */
    public void bootstrap() {
        loopInvoker.run(() -> {
            store.markReady();
            log.info("begun", "an operator declared the data complete; ready with " + store.liveCount() + " entries");
        });
    }

    /**
     * Writes a change, which the peers then replicate. A change older than the stored version has no effect.
     *
     * @throws IllegalStateException if the node is not ready
     */
    public MergeOutcome put(ConfigurationChange change) {
        return loopInvoker.query(() -> {
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
                throw new IllegalArgumentException("the first response is not a full snapshot");
            }
            store.markReady();
            log.info("ready", "ready with " + store.liveCount() + " entries from control node " + peer.name());
        }
        if (result.rejectedCount() > 0) {
            log.warnRateLimited(
                    "items_refused",
                    "entries from control node " + peer.name() + " rejected, count",
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
            log.error("store maintenance failed", e);
        }
    }

    /** Returns the JSON of an endpoint or the text of a settings document, or null if it is absent or removed. */
    public String liveBody(String topic, String id) {
        VersionedEntry entry = entry(topic, id);
        return entry == null || entry.removed() ? null : entry.body();
    }

    /** Returns the encoded timestamp of an entry or its tombstone, or an empty string if the store has neither. */
    public String encodedTimestamp(String topic, String id) {
        VersionedEntry entry = entry(topic, id);
        return entry == null ? "" : entry.timestamp().encode();
    }

    /** Returns the stored version of an entry, which may be a tombstone; null if there is none. */
    VersionedEntry entry(String topic, String id) {
        return loopInvoker.query(() -> store.get(topic, id));
    }

    /** Returns the live entries of a topic. */
    List<VersionedEntry> liveEntries(String topic) {
        return loopInvoker.query(() -> store.liveEntries(List.of(topic)));
    }

    /** Returns the digest over all live entries; nodes with equal entries have equal digests. */
    public long digest() {
        return loopInvoker.query(() -> store.digest(store.topics()));
    }

    /** Returns the digest over the live entries of these topics; an up-to-date watcher of them has the same digest. */
    public long digest(List<String> topics) {
        return loopInvoker.query(() -> store.digest(topics));
    }

    /** Returns the counters of the watch server. */
    public WatchCounters watchCounters() {
        return loopInvoker.query(watchServer::counters);
    }

    /** Sets the observer of the watch traffic; it replaces an earlier observer. */
    public void setWatchObserver(WatchObserver observer) {
        loopInvoker.run(() -> watchServer.setObserver(observer));
    }

    /** Returns the node's status for operators. */
    public ControlNodeStatus status() {
        return loopInvoker.query(reporter::status);
    }

    /**
     * Persists the store, then stops the node without answering open watch requests; returns when its threads have
     * ended.
     */
    public void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        loopInvoker.run(() -> {
            peers.stopAll();
            watchServer.close();
            runMaintenance();
        });
        threads.expectEnd();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
