package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Selects the control node that a watcher uses. It fails over to the next node when the current one fails or is stale,
 * and returns to the preferred node after a randomized time. Not thread-safe; times are in milliseconds.
 */
public final class NodeSelector {

    /** A node that has received nothing from its peers for this long is considered stale. */
    static final double STALE_AFTER_MS = 5_000;

    /**
     * The mean time between two moves away from stale nodes. If all nodes are stale, moving more often does not help.
     */
    private static final double STALE_MOVE_INTERVAL_MS = 30_000;

    /** The range of times after which a watcher returns to its preferred node. */
    static final double MIN_RETURN_MS = 30_000;

    static final double MAX_RETURN_MS = 60_000;

    /**
     * The range of times after which a watcher at another region's node probes its own region. It is shorter because
     * that node receives no updates of the watcher's region while the regions are partitioned.
     */
    static final double MIN_REGION_PROBE_MS = 5_000;

    static final double MAX_REGION_PROBE_MS = 10_000;

    /** The mean backoff after all nodes have failed in turn, which doubles up to the maximum. */
    private static final double INITIAL_BACKOFF_MS = 100;

    private static final double MAX_BACKOFF_MS = 1_000;

    private static final double MIN_JITTER_FACTOR = 0.5;

    /** Which kind of node the watcher uses. */
    private enum State {
        /** At the first node of its order. */
        AT_PREFERRED_NODE,
        /** At another node of its region, or of the only list of nodes. */
        AT_ALTERNATE_NODE,
        /** At a node of another region. */
        AT_FALLBACK_REGION,
        /** At a node of its own region that has not responded yet, with a fallback node to go back to. */
        PROBING_OWN_REGION
    }

    private final List<String> nodeOrder = new ArrayList<>();
    private final SplittableRandom random;
    private final int ownRegionCount;
    private State state = State.AT_PREFERRED_NODE;
    private int currentIndex;
    /** The node to return to if the probe fails; only valid in {@link State#PROBING_OWN_REGION}. */
    private int fallbackIndex;

    private int probeCount;
    private int consecutiveFailures;
    private double backoffMs = INITIAL_BACKOFF_MS;
    private double returnAtMs;
    private double nextStaleMoveAtMs;

    /**
     * Creates a selector at the watcher's preferred node.
     *
     * @param watcher the watcher's name, which determines its order of the nodes
     * @param regionNodes the nodes of the watcher's region
     * @param fallbackNodes the nodes of other regions, tried after all nodes of the watcher's region have failed
     * @param seed the seed of the random times
     * @throws IllegalArgumentException if there is no node
     */
    public NodeSelector(String watcher, List<String> regionNodes, List<String> fallbackNodes, long seed) {
        nodeOrder.addAll(RendezvousOrder.order(watcher, regionNodes));
        ownRegionCount = nodeOrder.size();
        RendezvousOrder.order(watcher, fallbackNodes).stream()
                .filter(node -> !nodeOrder.contains(node))
                .forEach(nodeOrder::add);
        if (nodeOrder.isEmpty()) {
            throw new IllegalArgumentException("at least one node to watch is required");
        }
        random = new SplittableRandom(seed);
    }

    /** Returns the node that the watcher should use. */
    public String currentNode() {
        return nodeOrder.get(currentIndex);
    }

    /**
     * Handles a failure of the current node, and selects another node.
     *
     * @return the backoff in milliseconds before the next attempt, 0 for none
     */
    public double onFailure(double nowMs) {
        if (state == State.PROBING_OWN_REGION) {
            moveTo(fallbackIndex);
            scheduleRegionProbe(nowMs);
            return 0;
        }
        failOver(nowMs);
        consecutiveFailures++;
        boolean allNodesFailed = consecutiveFailures % nodeOrder.size() == 0;
        return allNodesFailed ? nextBackoffMs() : 0;
    }

    /**
     * Returns the next backoff with jitter, because when all nodes fail, other watchers notice it at the same moment.
     */
    private double nextBackoffMs() {
        double jitteredMs = jitter(backoffMs);
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        return jitteredMs;
    }

    /**
     * Handles a response of the current node.
     *
     * @param replicationAgeMs the time since that node received anything from a peer
     * @return whether another node was selected
     */
    public boolean onResponse(double nowMs, double replicationAgeMs) {
        consecutiveFailures = 0;
        backoffMs = INITIAL_BACKOFF_MS;
        if (state == State.PROBING_OWN_REGION) {
            // Leave the probing state; the node stays the same.
            moveTo(currentIndex);
            scheduleReturn(nowMs);
        }
        if (replicationAgeMs > STALE_AFTER_MS && nowMs >= nextStaleMoveAtMs && nodeOrder.size() > 1) {
            nextStaleMoveAtMs = nowMs + jitter(STALE_MOVE_INTERVAL_MS);
            failOver(nowMs);
            return true;
        }
        return nowMs >= returnAtMs && moveTowardsPreferredNode();
    }

    private boolean moveTowardsPreferredNode() {
        switch (state) {
            case AT_FALLBACK_REGION -> probeOwnRegion();
            case AT_ALTERNATE_NODE -> moveTo(0);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void probeOwnRegion() {
        fallbackIndex = currentIndex;
        currentIndex = probeCount % ownRegionCount;
        probeCount++;
        state = State.PROBING_OWN_REGION;
    }

    private void failOver(double nowMs) {
        if (state == State.AT_PREFERRED_NODE) {
            scheduleReturn(nowMs);
        }
        moveTo((currentIndex + 1) % nodeOrder.size());
        if (currentIndex == ownRegionCount) {
            scheduleRegionProbe(nowMs);
        }
    }

    private void moveTo(int index) {
        currentIndex = index;
        if (index == 0) {
            state = State.AT_PREFERRED_NODE;
        } else if (ownRegionCount > 0 && index >= ownRegionCount) {
            state = State.AT_FALLBACK_REGION;
        } else {
            state = State.AT_ALTERNATE_NODE;
        }
    }

    private void scheduleReturn(double nowMs) {
        returnAtMs = nowMs + randomBetween(MIN_RETURN_MS, MAX_RETURN_MS);
    }

    private void scheduleRegionProbe(double nowMs) {
        returnAtMs = nowMs + randomBetween(MIN_REGION_PROBE_MS, MAX_REGION_PROBE_MS);
    }

    private double randomBetween(double min, double max) {
        return min + (max - min) * random.nextDouble();
    }

    /** Returns a random value around a mean. */
    private double jitter(double mean) {
        return mean * (MIN_JITTER_FACTOR + random.nextDouble());
    }
}
