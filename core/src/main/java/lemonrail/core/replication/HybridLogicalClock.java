package lemonrail.core.replication;

/**
 * A hybrid logical clock. It stays close to wall-clock time, and each reading is above all earlier and observed ones.
 */
final class HybridLogicalClock {

    private final String origin;
    private long timeMs;
    private int counter;

    HybridLogicalClock(String origin) {
        this.origin = origin;
    }

    /** Returns a reading above all earlier readings and all observed timestamps. */
    HybridTimestamp tick(long nowMs) {
        if (nowMs > timeMs) {
            timeMs = nowMs;
            counter = 0;
        } else {
            counter++;
        }
        return new HybridTimestamp(timeMs, counter, origin);
    }

    /** Advances the clock to a timestamp of another node, if that is ahead. */
    void observe(HybridTimestamp timestamp) {
        boolean isAhead =
                timestamp.timeMs() > timeMs || (timestamp.timeMs() == timeMs && timestamp.counter() > counter);
        if (isAhead) {
            timeMs = timestamp.timeMs();
            counter = timestamp.counter();
        }
    }
}
