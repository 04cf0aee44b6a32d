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

/** The peers of a control node, the replication from each, and its age. Belongs to the event loop. */
final class PeerMembership {

    private final EventLoop loop;
    private final Clock clock;
    private final EventLog log;
    private final String ownName;
    private final String ownRegion;
    private final PeerReplicator.Listener listener;
    private final Map<String, PeerReplicator> replicators = new LinkedHashMap<>();
    /** Peers that nothing is exchanged with, as tests and experiments set it. */
    private final Set<String> partitioned = new HashSet<>();

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

    /** Replicates from a peer from now on; a former one of this name is replaced. */
    void add(Peer peer) {
        PeerReplicator former = replicators.remove(peer.name());
        if (former != null) {
            former.stop();
        }
        PeerReplicator replicator = new PeerReplicator(loop, clock, log, ownName, peer, listener);
        replicators.put(peer.name(), replicator);
        if (!isPartitioned(peer.name())) {
            replicator.start();
        }
    }

    /** Stops or resumes replication from a peer. */
    void setPartitioned(String peer, boolean apart) {
        PeerReplicator replicator = replicators.get(peer);
        if (apart) {
            partitioned.add(peer);
        } else {
            partitioned.remove(peer);
        }
        if (replicator != null && apart) {
            replicator.stop();
        } else if (replicator != null) {
            replicator.start();
        }
    }

    boolean isPartitioned(String peer) {
        return partitioned.contains(peer);
    }

    void stopAll() {
        replicators.values().forEach(PeerReplicator::stop);
    }

    /**
     * Returns the time since any peer was received; 0 without peers.
     *
     * @param localDataAtMs the time of the local data, which counts while no peer was received
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

    /** Returns for each other region the time since any of its nodes was received. */
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
