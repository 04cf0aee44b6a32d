package lemonrail.logging;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.time.Clock;

/**
 * What a part of the program has to tell. What goes wrong by the thousand is damped: an event a second of
 * each kind at most, the next one saying how many there were meanwhile. What is damped belongs to the event
 * loop, all else may be told from any thread.
 */
public final class EventLog {

    /** The logger above all of them. */
    public static final String ROOT = "lemonrail";

    private static final double PAUSE_MS = 1000;
    /** Kinds that are damped apart; they are named in the program, so this is never reached. */
    private static final int MOST_KINDS = 256;

    private static final class Kind {
        double nextAt = Double.NEGATIVE_INFINITY;
        int suppressed;
    }

    /** What the logs of all parts have in common. */
    private static final class Shared {
        final Clock clock;
        final LogSink sink;
        final Map<String, Kind> kinds = new HashMap<>();
        int suppressed;

        Shared(Clock clock, LogSink sink) {
            this.clock = clock;
            this.sink = sink;
        }
    }

    private final Shared shared;
    private final String logger;

    /** A log to this sink. */
    public EventLog(Clock clock, LogSink sink) {
        this(new Shared(clock, sink), ROOT);
    }

    private EventLog(Shared shared, String logger) {
        this.shared = shared;
        this.logger = logger;
    }

    /** The same log for a part of the program. */
    public EventLog in(String part) {
        return new EventLog(shared, ROOT + "." + part);
    }

    /** Events that damping has swallowed so far, in all parts. */
    public int suppressed() {
        return shared.suppressed;
    }

    /** Whether {@link #debug} leads to anything: what is costly to tell need not be put together else. */
    public boolean tellsAll() {
        return shared.sink.takes(Severity.DEBUG, logger);
    }

    /** One request or attempt; fields are names and values in turn. */
    public void debug(String name, String message, Object... fields) {
        write(Severity.DEBUG, name, message, fields);
    }

    /** What operators did, or what the process is at. */
    public void info(String name, String message, Object... fields) {
        write(Severity.INFO, name, message, fields);
    }

    /** Something rare is amiss. */
    public void warn(String name, String message, Object... fields) {
        write(Severity.WARN, name, message, fields);
    }

    /** Something is amiss that may be so again and again; {@code detail} ends the line for people. */
    public void trouble(String name, String message, Object detail, Object... fields) {
        damped(Severity.WARN, name, message, detail, fields);
    }

    /** An exception of our own making: the place it came from is what helps. */
    public void bug(String message, Throwable e) {
        StackTraceElement[] trace = e.getStackTrace();
        String at = (trace.length == 0 ? "" : " at " + trace[0]) + (trace.length < 2 ? "" : ", " + trace[1]);
        damped(
                Severity.ERROR,
                "fault",
                message,
                e + at,
                "exception",
                e.getClass().getName());
    }

    private void damped(Severity severity, String name, String message, Object detail, Object... fields) {
        if (!shared.sink.takes(severity, logger)) {
            return;
        }
        if (shared.kinds.size() >= MOST_KINDS) {
            shared.kinds.clear();
        }
        Kind kind = shared.kinds.computeIfAbsent(name + message, k -> new Kind());
        double now = shared.clock.now();
        if (now < kind.nextAt) {
            kind.suppressed++;
            shared.suppressed++;
            return;
        }
        kind.nextAt = now + PAUSE_MS;
        List<Object> all = new ArrayList<>(List.of(fields));
        all.addAll(List.of("detail", String.valueOf(detail), "suppressed", kind.suppressed));
        shared.sink.write(new LogEvent(
                now,
                severity,
                logger,
                name,
                message + ": " + detail + (kind.suppressed == 0 ? "" : " (and " + kind.suppressed + " more before)"),
                all));
        kind.suppressed = 0;
    }

    private void write(Severity severity, String name, String message, Object... fields) {
        if (shared.sink.takes(severity, logger)) {
            shared.sink.write(new LogEvent(shared.clock.now(), severity, logger, name, message, List.of(fields)));
        }
    }
}
