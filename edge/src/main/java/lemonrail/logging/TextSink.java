package lemonrail.logging;

import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The plain log: the message alone, a line for people. It needs no library. */
public final class TextSink implements LogSink {

    private final PrintStream out;
    private final Map<String, Severity> levels = new ConcurrentHashMap<>(Map.of(EventLog.ROOT, Severity.INFO));

    /** A log to this stream. */
    public TextSink(PrintStream out) {
        this.out = out;
    }

    @Override
    public boolean takes(Severity severity, String logger) {
        String name = logger;
        Severity level = levels.get(name);
        while (level == null) {
            int dot = name.lastIndexOf('.');
            name = dot < 0 ? EventLog.ROOT : name.substring(0, dot);
            level = levels.get(name);
        }
        return severity.compareTo(level) >= 0;
    }

    @Override
    public void write(LogEvent event) {
        out.println("lemonrail: " + event.message());
    }

    @Override
    public void level(String logger, Severity severity) {
        levels.put(logger, severity);
    }

    @Override
    public Map<String, String> levels() {
        Map<String, String> set = new TreeMap<>();
        levels.forEach((logger, level) -> set.put(logger, level.name().toLowerCase(Locale.ROOT)));
        return set;
    }
}
