package lemonrail.core.replication;

import java.util.Map;

/**
 * When and where a version was written: a reading of a {@link HybridLogicalClock}. The higher of two versions
 * of an entry wins.
 *
 * @param timeMs Unix time in milliseconds
 * @param counter orders the writes of one millisecond
 * @param origin the node that accepted the write
 */
public record HybridTimestamp(long timeMs, int counter, String origin) implements Comparable<HybridTimestamp> {

    /** The lowest timestamp, which stands for no version. */
    public static final HybridTimestamp NONE = new HybridTimestamp(0, 0, "");

    /** Suffix of the origin of a backdated write, which does not belong to its node's sequence of timestamps. */
    private static final String BACKDATED_SUFFIX = "~";

    private static final int ENCODED_PARTS = 3;

    /** Returns the timestamp of a write that a node has accepted with an earlier time. */
    static HybridTimestamp backdated(long timeMs, String origin) {
        return new HybridTimestamp(timeMs, 0, origin + BACKDATED_SUFFIX);
    }

    /** Returns whether the write was backdated. Later writes of its node then do not acknowledge it. */
    boolean isBackdated() {
        return origin.endsWith(BACKDATED_SUFFIX);
    }

    /**
     * Returns whether a replica with this acknowledged version vector has received this version.
     *
     * @param acknowledgedVersions for each node, the timestamp up to which all its writes were received
     */
    boolean isAcknowledgedBy(Map<String, HybridTimestamp> acknowledgedVersions) {
        return !isBackdated() && compareTo(acknowledgedVersions.getOrDefault(origin, NONE)) <= 0;
    }

    /** Returns the higher of two timestamps. */
    static HybridTimestamp max(HybridTimestamp first, HybridTimestamp second) {
        return first.compareTo(second) >= 0 ? first : second;
    }

    @Override
    public int compareTo(HybridTimestamp other) {
        if (timeMs != other.timeMs) {
            return Long.compare(timeMs, other.timeMs);
        }
        if (counter != other.counter) {
            return Integer.compare(counter, other.counter);
        }
        return origin.compareTo(other.origin);
    }

    /** Returns the form used on the wire and on disk: {@code timeMs.counter.origin}. */
    public String encode() {
        return timeMs + "." + counter + "." + origin;
    }

    /**
     * Parses the form that {@link #encode()} returns.
     *
     * @throws IllegalArgumentException if the text is not a timestamp
     */
    public static HybridTimestamp parse(String text) {
        String[] parts = text.split("\\.", ENCODED_PARTS);
        try {
            if (parts.length == ENCODED_PARTS) {
                HybridTimestamp timestamp =
                        new HybridTimestamp(Long.parseLong(parts[0]), Integer.parseInt(parts[1]), parts[2]);
                if (timestamp.timeMs >= 0 && timestamp.counter >= 0) {
                    return timestamp;
                }
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("invalid hybrid timestamp: " + text, e);
        }
        throw new IllegalArgumentException("invalid hybrid timestamp: " + text);
    }
}
