package lemonrail.logging;

import java.util.Map;

/**
 * The settings of the log.
 *
 * @param levels the lowest severity that is written, by the name of the logger
 * @param queueCapacity number of events that may wait for a slow reader before further ones are dropped
 */
public record LogSettings(Format format, Map<String, Severity> levels, int queueCapacity) {

    /** The format of a log line: the message alone, text with time and level, or JSON. */
    public enum Format {
        PLAIN,
        TEXT,
        JSON
    }

    /** The settings of an edge whose configuration contains no log settings. */
    public static final LogSettings DEFAULT = new LogSettings(Format.PLAIN, Map.of(), BoundedSink.DEFAULT_CAPACITY);
}
