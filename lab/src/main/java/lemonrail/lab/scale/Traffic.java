package lemonrail.lab.scale;

/**
 * Counts bytes of payload in both directions, without the headers of TCP and IP, and watch calls. Not thread-safe.
 */
public final class Traffic {

    private static final long SECOND_NANOS = 1_000_000_000L;

    /**
     * The counts since the last reset.
     *
     * @param peakPerSecond the most bytes within one second
     */
    public record Totals(long bytes, long peakPerSecond, long calls) {}

    private long bytes;
    private long calls;
    private long currentSecond = Long.MIN_VALUE;
    private long bytesInSecond;
    private long peak;

    void addBytes(long newBytes) {
        long now = System.nanoTime() / SECOND_NANOS;
        if (now != currentSecond) {
            currentSecond = now;
            bytesInSecond = 0;
        }
        bytesInSecond += newBytes;
        bytes += newBytes;
        peak = Math.max(peak, bytesInSecond);
    }

    void addCall() {
        calls++;
    }

    Totals takeAndReset() {
        Totals totals = new Totals(bytes, peak, calls);
        bytes = 0;
        calls = 0;
        peak = 0;
        bytesInSecond = 0;
        return totals;
    }
}
