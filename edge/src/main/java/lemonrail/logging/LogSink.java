package lemonrail.logging;

import java.util.Map;

/** Where events go. Levels may be changed at any time, from any thread. */
public interface LogSink extends AutoCloseable {

    /** Whether events of this logger and severity are wanted. Never blocks. */
    boolean takes(Severity severity, String logger);

    /** Takes an event that is wanted. */
    void write(LogEvent event);

    /** From which severity on events of this logger, and of those below it, are wanted. */
    void level(String logger, Severity severity);

    /** The loggers that have a level of their own, and which. */
    Map<String, String> levels();

    /** How many events were dropped so far, as nobody read them in time. */
    default int dropped() {
        return 0;
    }

    /** Lets go of what it holds; what it has taken is written before, as far as that does not take long. */
    @Override
    default void close() {}
}
