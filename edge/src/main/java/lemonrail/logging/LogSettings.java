package lemonrail.logging;

import java.util.Map;

/**
 * How the log is written.
 *
 * @param levels by logger, from which severity on events are written
 * @param waiting events that may wait for a slow reader before more are dropped
 */
public record LogSettings(Format format, Map<String, Severity> levels, int waiting) {

    /** The forms of a line: for people without a library, for people with time and level, and JSON. */
    public enum Format {
        PLAIN,
        TEXT,
        JSON
    }

    /** The log of an edge that is told nothing of it. */
    public static final LogSettings USUAL = new LogSettings(Format.PLAIN, Map.of(), BoundedSink.USUAL_WAITING);
}
