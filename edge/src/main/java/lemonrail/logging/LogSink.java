package lemonrail.logging;

import java.util.Map;

/** Writes log events. Levels may be changed at any time, from any thread. */
public interface LogSink extends AutoCloseable {

    /** Returns whether events of this severity are written for a logger; never blocks. */
    boolean isEnabled(Severity severity, String logger);

    /** Writes an event regardless of its severity; callers check {@link #isEnabled} first. */
    void write(LogEvent event);

    /** Sets the lowest severity that is written for a logger and for its descendants without their own level. */
    void setLevel(String logger, Severity severity);

    /** Returns the loggers that have their own level, with the level in lower case. */
    Map<String, String> levels();

    /** Returns the number of events dropped because the reader of the log was too slow. */
    default int dropped() {
        return 0;
    }

    /** Writes the queued events, for a limited time, and then releases resources. */
    @Override
    default void close() {}
}
