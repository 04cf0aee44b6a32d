package lemonrail.logging;

import java.io.PrintStream;

/** Opens the log that settings ask for. Logback is loaded for the forms that need it alone. */
public final class LogSinks {

    private LogSinks() {}

    /** A log to this stream, whose reader may be slow. */
    public static LogSink open(LogSettings settings, PrintStream out) {
        LogSink sink = settings.format() == LogSettings.Format.PLAIN
                ? new TextSink(out)
                : new StructuredSink(out, settings.format(), settings.levels());
        settings.levels().forEach(sink::level);
        return new BoundedSink(sink, settings.waiting());
    }
}
