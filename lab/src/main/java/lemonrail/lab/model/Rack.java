package lemonrail.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** What the endpoints of one rack remember together: the keys that they have begun, for a while. */
public final class Rack {

    private record Begun(String key, double atMs) {}

    private final Scheduler scheduler;
    private final double windowMs;
    private final Set<String> keys = new HashSet<>();
    private final Deque<Begun> inOrder = new ArrayDeque<>();

    /** A rack that drops repeats for so long. */
    public Rack(Scheduler scheduler, double windowMs) {
        this.scheduler = scheduler;
        this.windowMs = windowMs;
    }

    /** Whether a key is new to the rack, which knows it from now on. */
    boolean begin(String key) {
        double now = scheduler.nowMs();
        while (!inOrder.isEmpty() && now - inOrder.peek().atMs >= windowMs) {
            keys.remove(inOrder.poll().key);
        }
        if (!keys.add(key)) {
            return false;
        }
        inOrder.add(new Begun(key, now));
        return true;
    }
}
