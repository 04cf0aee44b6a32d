package lemonrail.control;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
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
 * One control node: what it knows, the watches that it serves and those that it keeps on the other nodes, on
 * one event loop. It takes changes, passes them on, and goes on by itself where it hears nobody.
 */
public final class ControlNode {

    /** How often what is known is kept, if it has changed, and removals are forgotten. */
    private static final int KEEP_MS = 5_000;
    /** How often it is kept if it has not: its time tells how old it is. */
    private static final int KEEP_ANYWAY_MS = 60_000;
    /** For so long a node that has what was kept waits for another node, which may know more. */
    private static final int HEAR_FIRST_MS = 2_000;
    /** What is told to other nodes of the watchers is put together this often at most. */
    private static final int WATCHING_MS = 500;

    private final ControlConfig config;
    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Clock clock = new Clock();
    private final EventLog log;
    private final ReplicatedStore state;
    private final AppliedVersions inForce = new AppliedVersions();
    private final Map<String, PeerReplicator> peers = new LinkedHashMap<>();
    private final Set<String> cut = new HashSet<>();
    private final String boot;
    private final SnapshotFile file;
    private final WatchServer server;
    private final AdminServer adminServer;
    private boolean unkept;
    private long keptAt;
    private boolean hasKept;
    /** Up to when its knowledge goes where no other node was heard since the start. */
    private long knownAt;

    private Map<String, Object> watching;
    private double watchingUntil;
    private boolean stopped;

    private ControlNode(ControlConfig config, LogSink sink) {
        this.config = config;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("control"), NioIoHandler.newFactory());
        loop = (EventLoop) group.next();
        log = new EventLog(clock, sink).in("control");
        long nowMs = nowMs();
        knownAt = nowMs;
        state = new ReplicatedStore(config.name(), Bounds.DEFAULT, nowMs);
        boot = config.name() + "-" + Long.toString(nowMs, Character.MAX_RADIX);
        file = config.snapshotFile() == null ? null : new SnapshotFile(config.snapshotFile());
        server = new WatchServer(
                loop, clock, log, state, inForce, new Told(), boot, config.maxWatchers(), config.responseIntervalMs());
        adminServer = new AdminServer(
                loop, Sockets.BUFFERS, new ControlAdminApi(this), ControlAdminApi.MOST_BODY_BYTES, log::error);
    }

    /** A node by this configuration, which listens from {@link #open} on. */
    public static ControlNode create(ControlConfig config, LogSink sink) {
        return new ControlNode(config, sink);
    }

    /** Takes in what was kept, opens the listeners, and begins to watch the other nodes. */
    public void open() throws IOException {
        try {
            if (file != null) {
                onLoop(this::takeKept);
            }
            bound("control.address", config.address(), server.listen(config.address()));
            if (config.admin() != null) {
                bound("admin.address", config.admin(), adminServer.listen(config.admin()));
            }
        } catch (IOException | RuntimeException e) {
            stop();
            throw e;
        }
        loop.execute(() -> config.peers().forEach(this::watchNow));
        loop.scheduleWithFixedDelay(this::keep, KEEP_MS, KEEP_MS, TimeUnit.MILLISECONDS);
        log.info(
                "serving",
                "control node " + config.name() + " of region " + config.region() + " serves at " + address() + " with "
                        + config.peers().size() + " other nodes",
                "address",
                address());
    }

    private Void takeKept() throws IOException {
        long at = file.read(state, nowMs());
        if (at >= 0) {
            knownAt = at;
            hasKept = true;
            log.info(
                    "kept_state",
                    "what was kept has " + state.liveCount() + " items and is " + (nowMs() - at) / 1000 + " s old");
            if (config.peers().isEmpty()) {
                state.markReady();
            } else {
                loop.schedule(state::markReady, HEAR_FIRST_MS, TimeUnit.MILLISECONDS);
            }
        }
        return null;
    }

    private static void bound(String field, InetSocketAddress at, ChannelFuture bound) throws IOException {
        if (!bound.awaitUninterruptibly().isSuccess()) {
            throw new IOException(
                    field + ": cannot listen on " + at + ": " + bound.cause().getMessage());
        }
    }

    private <T> T onLoop(Callable<T> task) throws IOException {
        if (loop.inEventLoop()) {
            try {
                return task.call();
            } catch (IOException | RuntimeException e) {
                throw e;
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
        var done = loop.submit(task).awaitUninterruptibly();
        if (!done.isSuccess()) {
            if (done.cause() instanceof RuntimeException e) {
                throw e;
            }
            throw done.cause() instanceof IOException e ? e : new IOException(done.cause());
        }
        return done.getNow();
    }

    private <T> T asked(Callable<T> task) {
        try {
            return onLoop(task);
        } catch (IOException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    private long nowMs() {
        return (long) clock.now();
    }

    /** Where sidecars and other nodes watch. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Where operators call. */
    public InetSocketAddress adminAddress() {
        return adminServer.address();
    }

    /** Its name. */
    public String name() {
        return config.name();
    }

    /** This node as another one's peer. */
    public Peer asPeer() {
        return new Peer(config.name(), address(), config.region());
    }

    /** Watches another node from now on. */
    public void watch(Peer peer) {
        asked(() -> {
            watchNow(peer);
            return null;
        });
    }

    private void watchNow(Peer peer) {
        PeerReplicator before = peers.remove(peer.name());
        if (before != null) {
            before.stop();
        }
        PeerReplicator fresh = new PeerReplicator(loop, clock, log, config.name(), peer, this::heard);
        peers.put(peer.name(), fresh);
        if (!cut.contains(peer.name())) {
            fresh.start();
        }
    }

    /** Whether it may tell what it knows and takes changes. */
    public boolean isReady() {
        return asked(state::isReady);
    }

    /** What it knows is all there is: the first node of a first cluster. */
    public void begin() {
        asked(() -> {
            state.markReady();
            log.info("begun", "begun by an operator's word with " + state.liveCount() + " items");
            return null;
        });
    }

    /** Takes a change, and passes it on; one that is older than what is known changes nothing. */
    public MergeOutcome put(ConfigurationChange change) {
        return asked(() -> {
            MergeOutcome taken = state.writeAsOf(
                    nowMs(), change.asOfMs(), change.topic(), change.id(), change.removed(), change.body());
            if (taken == MergeOutcome.APPLIED) {
                changed(Set.of(change.topic()));
            }
            return taken;
        });
    }

    private void changed(Set<String> topics) {
        unkept = true;
        server.changed(topics);
    }

    private void heard(PeerReplicator from, Map<?, ?> answer) {
        List<VersionedEntry> items = EntryCodec.items(
                answer,
                why -> log.warnRateLimited(
                        "item_unreadable", "an item of node " + from.peer().name() + " is left out", why));
        MergeResult result = state.mergeAll(
                nowMs(), items, EntryCodec.heard(answer), from.peer().name());
        if (!state.isReady()) {
            if (!Boolean.TRUE.equals(answer.get("full"))) {
                throw new IllegalArgumentException("the first answer has not everything");
            }
            state.markReady();
            log.info(
                    "ready",
                    "ready with " + state.liveCount() + " items from "
                            + from.peer().name());
        }
        if (result.rejectedCount() > 0) {
            log.warnRateLimited(
                    "items_refused",
                    "items of node " + from.peer().name() + " were refused",
                    result.rejectedCount(),
                    "node",
                    from.peer().name());
        }
        if (result.appliedCount() > 0) {
            changed(result.changedTopics());
        }
    }

    private void keep() {
        try {
            state.expireTombstones(nowMs());
            if (file != null && state.isReady() && (unkept || nowMs() - keptAt >= KEEP_ANYWAY_MS)) {
                file.write(state, nowMs());
                unkept = false;
                keptAt = nowMs();
            }
        } catch (IOException e) {
            log.warnRateLimited("not_kept", "what is known is not kept", e.getMessage());
        } catch (RuntimeException e) {
            log.error("keeping failed", e);
        }
    }

    /** Lets nothing pass between this node and another any more, or again, as tests and trials do. */
    public void cut(String peer, boolean apart) {
        asked(() -> {
            PeerReplicator watch = peers.get(peer);
            if (apart) {
                cut.add(peer);
                server.cut(peer);
            } else {
                cut.remove(peer);
            }
            if (watch != null && apart) {
                watch.stop();
            } else if (watch != null) {
                watch.start();
            }
            return null;
        });
    }

    /** The last word on an item as JSON or a document, or null where there is none or it is gone. */
    public String get(String topic, String id) {
        return asked(() -> {
            VersionedEntry item = state.get(topic, id);
            return item == null || item.removed() ? null : item.body();
        });
    }

    /** The stamp of the last word on an item as it is told, or empty where there was none. */
    public String stamp(String topic, String id) {
        VersionedEntry item = item(topic, id);
        return item == null ? "" : item.timestamp().encode();
    }

    /** The loop that all its work is done on, to measure what it costs. */
    public EventLoop loop() {
        return loop;
    }

    VersionedEntry item(String topic, String id) {
        return asked(() -> state.get(topic, id));
    }

    /** The last words on all that is there in a topic. */
    List<VersionedEntry> items(String topic) {
        return asked(() -> state.liveEntries(List.of(topic)));
    }

    /** The digest over all items: nodes that hold the same have the same. */
    public long digest() {
        return asked(() -> state.digest(state.topics()));
    }

    /** Its figures: open connections, waiting calls, answers, their bytes, slow ones closed, texts made. */
    public List<Long> figures() {
        return asked(server::figures);
    }

    /** The digest over some services, as a watcher that holds all of them tells it. */
    public long digest(List<String> services) {
        return asked(() -> state.digest(services));
    }

    /** Has all that passes between this node and its watchers seen. */
    public void observe(WatchObserver observer) {
        asked(() -> {
            server.observe(observer);
            return null;
        });
    }

    /** What operators see, as fields. */
    public Map<String, Object> status() {
        return asked(() -> {
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("node", config.name());
            all.put("region", config.region());
            all.put("ready", state.isReady());
            all.put("version", state.currentVersion(nowMs()));
            all.put("items", state.liveCount());
            all.put("removed", state.tombstoneCount());
            all.put("age_ms", ageMs());
            all.put("regions", regions());
            List<Object> others = new ArrayList<>();
            for (PeerReplicator watch : peers.values()) {
                Map<String, Object> one = new LinkedHashMap<>();
                one.put("name", watch.peer().name());
                one.put("region", watch.peer().region());
                one.put("heard", watch.wasHeard());
                one.put("age_ms", (long) watch.ageMs());
                one.put("watching", watch.watching());
                others.add(one);
            }
            all.put("peers", others);
            all.put("watching", watchingNow());
            List<Object> documents = new ArrayList<>();
            state.topics().stream()
                    .filter(topic -> topic.startsWith(VersionedEntry.SETTINGS_TOPIC_PREFIX))
                    .forEach(topic -> state.liveEntries(List.of(topic))
                            .forEach(item -> documents.add(Map.of(
                                    "name", item.id(), "stamp", item.timestamp().encode()))));
            all.put("settings", documents);
            return all;
        });
    }

    /** The same as of late: it goes into each answer to another node. */
    private Map<String, Object> watching() {
        if (watching == null || clock.now() >= watchingUntil) {
            watching = watchingNow();
            watchingUntil = clock.now() + WATCHING_MS;
        }
        return watching;
    }

    /** Of this node's own watchers: how many, and for each document the oldest in force and refusals. */
    private Map<String, Object> watchingNow() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("watchers", inForce.watcherCount(nowMs()));
        List<Object> documents = new ArrayList<>();
        for (AppliedVersions.Summary summary : inForce.summaries(nowMs())) {
            Map<String, Object> one = new LinkedHashMap<>();
            one.put("document", summary.document());
            one.put("watchers", summary.watchers());
            one.put("oldest", summary.oldestApplied().encode());
            one.put("oldest_at", summary.oldestWatchers());
            one.put("refusals", summary.rejectionCount());
            List<Object> refused = new ArrayList<>();
            summary.rejections()
                    .forEach(report -> refused.add(Map.of(
                            "name",
                            report.watcher(),
                            "stamp",
                            report.rejected().encode(),
                            "why",
                            report.rejectionReason())));
            one.put("refused", refused);
            documents.add(one);
        }
        all.put("settings", documents);
        return all;
    }

    /** Since any other node was last heard; 0 where there is none. */
    private long ageMs() {
        if (peers.isEmpty()) {
            return 0;
        }
        return peers.values().stream().anyMatch(PeerReplicator::wasHeard)
                ? (long) peers.values().stream()
                        .filter(PeerReplicator::wasHeard)
                        .mapToDouble(PeerReplicator::ageMs)
                        .min()
                        .orElse(0)
                : nowMs() - knownAt;
    }

    /** For each other region, since any of its nodes was last heard. */
    private Map<String, Object> regions() {
        Map<String, Object> ages = new LinkedHashMap<>();
        for (PeerReplicator watch : peers.values()) {
            String region = watch.peer().region();
            if (!region.equals(config.region())) {
                ages.merge(region, (long) watch.ageMs(), (one, other) -> Math.min((long) one, (long) other));
            }
        }
        return ages;
    }

    /** Ends it, as a kill does; what is known is kept where a file is given. */
    public void stop() {
        if (stopped) {
            return;
        }
        stopped = true;
        asked(() -> {
            peers.values().forEach(PeerReplicator::stop);
            server.close();
            keep();
            return null;
        });
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** What each answer says of the node. */
    private final class Told implements WatchServer.Node {

        @Override
        public Map<String, Object> head(WatchRequest call) {
            Map<String, Object> head = new LinkedHashMap<>();
            head.put("version", state.currentVersion(nowMs()));
            head.put("node", boot);
            head.put("age_ms", ageMs());
            Map<String, Object> ages = regions();
            if (!ages.isEmpty()) {
                head.put("regions", ages);
            }
            if (call.isOfPeer()) {
                head.put("watching", watching());
            }
            return head;
        }

        @Override
        public boolean tellsPeers() {
            return hasKept;
        }

        @Override
        public boolean isCut(String peer) {
            return cut.contains(peer);
        }
    }
}
