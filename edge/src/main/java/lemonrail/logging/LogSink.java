package lemonrail.logging;

import java.util.Map;

/** Writes log events. Levels may be changed at any time, from any thread. */
public interface LogSink extends AutoCloseable {

    /** Returns whether events of this severity are written for a logger. Never blocks. */
    boolean isEnabled(Severity severity, String logger);

    /** Writes an event, whatever its severity; {@link #isEnabled} is asked before. */
    void write(LogEvent event);

    /** Sets the lowest severity that is written for a logger and for those below it. */
    void setLevel(String logger, Severity severity);

    /** Returns the loggers that have a level of their own, and their levels in lower case. */
    Map<String, String> levels();

    /** Returns how many events have been dropped because the reader was too slow. */
    default int dropped() {
        return 0;
    }

    /** Releases resources; writes the waiting events before, for a limited time. */
    @Override
    default void close() {}
}
