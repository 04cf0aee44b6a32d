package lemonrail.core.control;

/** A hybrid logical clock: near to real time, and each reading above all that were heard before. */
final class HybridClock {

    private final String origin;
    private long ms;
    private int counter;

    HybridClock(String origin) {
        this.origin = origin;
    }

    /** A reading above all earlier ones and all that were heard. */
    Stamp read(long nowMs) {
        if (nowMs > ms) {
            ms = nowMs;
            counter = 0;
        } else {
            counter++;
        }
        return new Stamp(ms, counter, origin);
    }

    /** Takes in another's reading. */
    void hear(Stamp stamp) {
        if (stamp.ms() > ms || (stamp.ms() == ms && stamp.counter() > counter)) {
            ms = stamp.ms();
            counter = stamp.counter();
        }
    }
}
