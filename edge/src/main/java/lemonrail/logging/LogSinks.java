package lemonrail.logging;

import java.io.PrintStream;

/** Opens the sink for given settings. Logback is loaded only for the formats that need it. */
public final class LogSinks {

    private LogSinks() {}

    /** Returns a sink that writes to a stream and does not block when the stream's reader is slow. */
    public static LogSink open(LogSettings settings, PrintStream out) {
        LogSink sink = settings.format() == LogSettings.Format.PLAIN
                ? new TextSink(out)
                : new StructuredSink(out, settings.format(), settings.levels());
        settings.levels().forEach(sink::setLevel);
        return new BoundedSink(sink, settings.queueCapacity());
    }
}
