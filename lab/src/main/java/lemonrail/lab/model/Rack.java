package lemonrail.lab.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/** Deduplication of requests in one rack: its endpoints share the idempotency keys that they began recently. */
public final class Rack {

    private record KeyEntry(String key, double atMs) {}

    private final Scheduler scheduler;
    private final double windowMs;
    private final Set<String> keys = new HashSet<>();
    private final Deque<KeyEntry> entries = new ArrayDeque<>();

    /** Creates a rack that remembers each key for {@code windowMs}. */
    public Rack(Scheduler scheduler, double windowMs) {
        this.scheduler = scheduler;
        this.windowMs = windowMs;
    }

    /** Registers a key. Returns false if the rack knows it already. */
    boolean registerIfNew(String key) {
        double now = scheduler.nowMs();
        while (!entries.isEmpty() && now - entries.peek().atMs >= windowMs) {
            keys.remove(entries.poll().key);
        }
        if (!keys.add(key)) {
            return false;
        }
        entries.add(new KeyEntry(key, now));
        return true;
    }
}
