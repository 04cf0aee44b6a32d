package lemonrail.core.replication;

import java.util.Map;

/**
 * When and where a word was given: a reading of a {@link HybridLogicalClock}. The higher of two holds.
 *
 * @param ms Unix time in milliseconds
 * @param counter tells words of one millisecond apart
 * @param origin the node that took the word
 */
public record HybridTimestamp(long ms, int counter, String origin) implements Comparable<HybridTimestamp> {

    /** Below all others. */
    public static final HybridTimestamp NONE = new HybridTimestamp(0, 0, "");

    /** What the origin of a word for an earlier time ends with: it is out of its node's sequence. */
    private static final String AS_OF = "~";

    /** The stamp of a word that a node has taken for an earlier time. */
    static HybridTimestamp asOf(long ms, String origin) {
        return new HybridTimestamp(ms, 0, origin + AS_OF);
    }

    /** Whether the word was for an earlier time, so that its node's later words say nothing of it. */
    boolean isAsOf() {
        return origin.endsWith(AS_OF);
    }

    /** Whether one who has heard each node up to these stamps has heard this word. */
    boolean isWithin(Map<String, HybridTimestamp> heard) {
        return !isAsOf() && compareTo(heard.getOrDefault(origin, NONE)) <= 0;
    }

    @Override
    public int compareTo(HybridTimestamp other) {
        return ms != other.ms
                ? Long.compare(ms, other.ms)
                : counter != other.counter ? Integer.compare(counter, other.counter) : origin.compareTo(other.origin);
    }

    /** As it is told: {@code ms.counter.origin}. */
    public String text() {
        return ms + "." + counter + "." + origin;
    }

    /** Reads {@link #text()}; what is no stamp is an exception that says so. */
    public static HybridTimestamp parse(String text) {
        String[] parts = text.split("\\.", 3);
        try {
            if (parts.length == 3) {
                HybridTimestamp stamp =
                        new HybridTimestamp(Long.parseLong(parts[0]), Integer.parseInt(parts[1]), parts[2]);
                if (stamp.ms >= 0 && stamp.counter >= 0) {
                    return stamp;
                }
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("no stamp: " + text, e);
        }
        throw new IllegalArgumentException("no stamp: " + text);
    }
}
