package lemonrail.control;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemonrail.config.ControlConfig.Peer;
import lemonrail.logging.EventLog;
import lemonrail.time.Clock;

/** The peers of a control node, with the replication from each peer and its age. Belongs to the event loop. */
final class PeerMembership {

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final String ownName;
    private final String ownRegion;
    private final PeerReplicator.Listener listener;
    private final Map<String, PeerReplicator> replicators = new LinkedHashMap<>();
    /** Names of the peers with which all traffic is stopped; set by tests and experiments. */
    private final Set<String> partitionedPeers = new HashSet<>();

    PeerMembership(
            EventLoop loop,
            Clock clock,
            EventLog log,
            String ownName,
            String ownRegion,
            PeerReplicator.Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.ownName = ownName;
        this.ownRegion = ownRegion;
        this.listener = listener;
    }

    /** Starts to replicate from a peer, and replaces a peer of the same name. */
    void add(Peer peer) {
        PeerReplicator replaced = replicators.remove(peer.name());
        if (replaced != null) {
            replaced.stop();
        }
        PeerReplicator replicator = new PeerReplicator(loop, clock, log, ownName, peer, listener);
        replicators.put(peer.name(), replicator);
        if (!isPartitioned(peer.name())) {
            replicator.start();
        }
    }

    /** Stops or resumes replication from a peer. */
    void setPartitioned(String peer, boolean partitioned) {
        PeerReplicator replicator = replicators.get(peer);
        if (partitioned) {
            partitionedPeers.add(peer);
        } else {
            partitionedPeers.remove(peer);
        }
        if (replicator != null && partitioned) {
            replicator.stop();
        } else if (replicator != null) {
            replicator.start();
        }
    }

    boolean isPartitioned(String peer) {
        return partitionedPeers.contains(peer);
    }

    void stopAll() {
        replicators.values().forEach(PeerReplicator::stop);
    }

    /**
     * Returns the time since the last response of any peer; 0 without peers.
     *
     * @param localDataAtMs the time of the local data, from which the age counts until a peer has responded
     */
    long replicationAgeMs(long localDataAtMs) {
        if (replicators.isEmpty()) {
            return 0;
        }
        if (replicators.values().stream().noneMatch(PeerReplicator::wasReached)) {
            return (long) clock.now() - localDataAtMs;
        }
        return (long) replicators.values().stream()
                .filter(PeerReplicator::wasReached)
                .mapToDouble(PeerReplicator::ageMs)
                .min()
                .orElse(0);
    }

    /** Returns for each other region the time since the last response of any of its nodes. */
    Map<String, Long> regionAgesMs() {
        Map<String, Long> ages = new LinkedHashMap<>();
        for (PeerReplicator replicator : replicators.values()) {
            String region = replicator.peer().region();
            if (!region.equals(ownRegion)) {
                ages.merge(region, (long) replicator.ageMs(), Math::min);
            }
        }
        return ages;
    }

    List<PeerStatus> statuses() {
        return replicators.values().stream().map(PeerReplicator::status).toList();
    }
}
