package lemonrail.core.replication;

/** A hybrid logical clock: near to real time, and each reading above all that were heard before. */
final class HybridLogicalClock {

    private final String origin;
    private long ms;
    private int counter;

    HybridLogicalClock(String origin) {
        this.origin = origin;
    }

    /** A reading above all earlier ones and all that were heard. */
    HybridTimestamp read(long nowMs) {
        if (nowMs > ms) {
            ms = nowMs;
            counter = 0;
        } else {
            counter++;
        }
        return new HybridTimestamp(ms, counter, origin);
    }

    /** Takes in another's reading. */
    void hear(HybridTimestamp stamp) {
        if (stamp.ms() > ms || (stamp.ms() == ms && stamp.counter() > counter)) {
            ms = stamp.ms();
            counter = stamp.counter();
        }
    }
}
