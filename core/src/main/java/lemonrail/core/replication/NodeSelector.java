package lemonrail.core.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Which control node a watcher is at and when it goes to another: to the next one where its node fails or has
 * heard nothing new for long, and back to its first one after a while, spread over time. Times are in
 * milliseconds.
 */
public final class NodeSelector {

    /** A node that has heard no other for so long is behind; another is looked at once in a while. */
    static final double STALE_MS = 5_000;

    private static final double STALE_PAUSE_MS = 30_000;
    /** After so long a watcher goes back to its first node. */
    static final double LEAST_AWAY_MS = 30_000;

    static final double MOST_AWAY_MS = 60_000;
    /**
     * At another region's node it looks at its own region's sooner: if the regions lose each other, that node
     * hears nothing of its own region.
     */
    static final double LEAST_ABROAD_MS = 5_000;

    static final double MOST_ABROAD_MS = 10_000;
    /** The mean pause after all nodes have failed in turn, which doubles up to the most. */
    private static final double PAUSE_MS = 100;

    private static final double MOST_PAUSE_MS = 1_000;

    private final List<String> order = new ArrayList<>();
    private final SplittableRandom random;
    private final int own;
    private int at;
    /** The other region's node to go on at, if the look at its own region's fails; below 0 for none. */
    private int back = -1;

    private int looks;
    private int failures;
    private double pauseMs = PAUSE_MS;
    private double homeAt;
    private double nextStaleMove;

    /**
     * A watcher's way.
     *
     * @param name the watcher's, by which it has an order of its own
     * @param nodes those of its region
     * @param others those that come after all of these have failed
     */
    public NodeSelector(String name, List<String> nodes, List<String> others, long seed) {
        order.addAll(RendezvousOrder.order(name, nodes));
        own = order.size();
        RendezvousOrder.order(name, others).stream()
                .filter(node -> !order.contains(node))
                .forEach(order::add);
        if (order.isEmpty()) {
            throw new IllegalArgumentException("there must be a node to watch");
        }
        random = new SplittableRandom(seed);
    }

    /** The node to watch at. */
    public String current() {
        return order.get(at);
    }

    /** The node has failed: the next one is the current one from now on, after a pause, 0 for at once. */
    public double failed(double now) {
        if (back >= 0) {
            at = back;
            back = -1;
            abroad(now);
            return 0;
        }
        move(now);
        failures++;
        if (failures % order.size() != 0) {
            return 0;
        }
        // All of them have, and other watchers see the same at this instant.
        double pause = pauseMs * (0.5 + random.nextDouble());
        pauseMs = Math.min(MOST_PAUSE_MS, 2 * pauseMs);
        return pause;
    }

    /**
     * The node has answered.
     *
     * @param ageMs since it has heard any other node
     * @return whether another node is the current one from now on
     */
    public boolean answered(double now, double ageMs) {
        failures = 0;
        pauseMs = PAUSE_MS;
        if (back >= 0) {
            back = -1;
            away(now);
        }
        if (ageMs > STALE_MS && now >= nextStaleMove && order.size() > 1) {
            nextStaleMove = now + STALE_PAUSE_MS * (0.5 + random.nextDouble());
            move(now);
            return true;
        }
        if (at >= own && now >= homeAt && own > 0) {
            back = at;
            at = looks++ % own;
            return true;
        }
        if (at != 0 && now >= homeAt) {
            at = 0;
            return true;
        }
        return false;
    }

    private void move(double now) {
        if (at == 0) {
            away(now);
        }
        at = (at + 1) % order.size();
        if (at == own) {
            abroad(now);
        }
    }

    private void away(double now) {
        homeAt = now + LEAST_AWAY_MS + (MOST_AWAY_MS - LEAST_AWAY_MS) * random.nextDouble();
    }

    private void abroad(double now) {
        homeAt = now + LEAST_ABROAD_MS + (MOST_ABROAD_MS - LEAST_ABROAD_MS) * random.nextDouble();
    }
}
