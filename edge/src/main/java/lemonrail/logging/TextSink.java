package lemonrail.logging;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Writes only the message, one line per event; needs no logging library. */
public final class TextSink implements LogSink {

    private final PrintStream out;
    private final Map<String, Severity> levels = new ConcurrentHashMap<>(Map.of(EventLog.ROOT, Severity.INFO));

    /** Creates a sink that writes to a stream. */
    public TextSink(PrintStream out) {
        this.out = out;
    }

    @Override
    public boolean isEnabled(Severity severity, String logger) {
        return severity.compareTo(levelOf(logger)) >= 0;
    }

    /** Returns the level of a logger: its own, or that of its nearest ancestor. */
    private Severity levelOf(String logger) {
        String name = logger;
        Severity level = levels.get(name);
        while (level == null) {
            int dot = name.lastIndexOf('.');
            name = dot < 0 ? EventLog.ROOT : name.substring(0, dot);
            level = levels.get(name);
        }
        return level;
    }

    @Override
    public void write(LogEvent event) {
        out.println("lemonrail: " + event.message());
    }

    @Override
    public void setLevel(String logger, Severity severity) {
        levels.put(logger, severity);
    }

    @Override
    public Map<String, String> levels() {
        Map<String, String> names = new TreeMap<>();
        levels.forEach((logger, level) -> names.put(logger, level.name().toLowerCase(Locale.ROOT)));
        return names;
    }
}
