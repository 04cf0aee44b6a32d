package lemonrail.lab.scale;

/** Bytes of payload over time, both ways; the headers of TCP and IP are not in them. One loop's own. */
public final class Traffic {

    private static final long SECOND_NANOS = 1_000_000_000L;

    /** What has passed since it was last asked: bytes, and the most within one second. */
    public record Seen(long bytes, long peakPerSecond, long calls) {}

    private long bytes;
    private long calls;
    private long second = Long.MIN_VALUE;
    private long inSecond;
    private long peak;

    void add(long more) {
        long now = System.nanoTime() / SECOND_NANOS;
        if (now != second) {
            second = now;
            inSecond = 0;
        }
        inSecond += more;
        bytes += more;
        peak = Math.max(peak, inSecond);
    }

    void called() {
        calls++;
    }

    Seen take() {
        Seen seen = new Seen(bytes, peak, calls);
        bytes = 0;
        calls = 0;
        peak = 0;
        inSecond = 0;
        return seen;
    }
}
