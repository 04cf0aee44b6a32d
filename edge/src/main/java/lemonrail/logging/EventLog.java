package lemonrail.logging;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.time.Clock;

/**
 * The log of one part of the program. Events that may come in large numbers are rate limited: one a second of each
 * kind, and the next one tells how many were suppressed. The rate-limited methods belong to the event loop, all
 * others may be called from any thread. Fields are alternating names and values.
 */
public final class EventLog {

    /** The logger above all others. */
    public static final String ROOT = "lemonrail";

    private static final double RATE_LIMIT_INTERVAL_MS = 1000;
    /** Kinds of events that are limited apart; a bound on memory above the number of kinds in the program. */
    private static final int MAX_KINDS = 256;

    /** The state of the rate limit of one kind of event. */
    private static final class RateLimit {
        double nextAtMs = Double.NEGATIVE_INFINITY;
        int suppressed;
    }

    /** The state that the logs of all parts have in common. */
    private static final class Shared {
        final Clock clock;
        final LogSink sink;
        final Map<String, RateLimit> rateLimits = new HashMap<>();
        int suppressed;

        Shared(Clock clock, LogSink sink) {
            this.clock = clock;
            this.sink = sink;
        }

        RateLimit rateLimit(String kind) {
            if (rateLimits.size() >= MAX_KINDS) {
                rateLimits.clear();
            }
            return rateLimits.computeIfAbsent(kind, key -> new RateLimit());
        }
    }

    private final Shared shared;
    private final String logger;

    /** Creates the root logger, which writes to this sink. */
    public EventLog(Clock clock, LogSink sink) {
        this(new Shared(clock, sink), ROOT);
    }

    private EventLog(Shared shared, String logger) {
        this.shared = shared;
        this.logger = logger;
    }

    /** Returns the log of a component; its logger is named after the component's package. */
    public EventLog forComponent(String component) {
        return new EventLog(shared, ROOT + "." + component);
    }

    /** Returns how many events the rate limits of all loggers have suppressed. */
    public int suppressed() {
        return shared.suppressed;
    }

    /** Returns whether {@link #debug} writes anything; for callers whose events are costly to create. */
    public boolean isDebugEnabled() {
        return shared.sink.isEnabled(Severity.DEBUG, logger);
    }

    /** Logs an event of one request or attempt. */
    public void debug(String name, String message, Object... fields) {
        write(Severity.DEBUG, name, message, fields);
    }

    /** Logs an action of an operator, or a phase of the process. */
    public void info(String name, String message, Object... fields) {
        write(Severity.INFO, name, message, fields);
    }

    /** Logs a rare fault outside of the program. */
    public void warn(String name, String message, Object... fields) {
        write(Severity.WARN, name, message, fields);
    }

    /** Logs a fault that may repeat, rate limited; {@code detail} ends the line for people. */
    public void warnRateLimited(String name, String message, Object detail, Object... fields) {
        writeRateLimited(Severity.WARN, name, message, detail, fields);
    }

    /** Logs an unexpected exception with the place that it was thrown at, rate limited. */
    public void error(String message, Throwable e) {
        writeRateLimited(
                Severity.ERROR,
                "fault",
                message,
                e + place(e.getStackTrace()),
                "exception",
                e.getClass().getName());
    }

    private static String place(StackTraceElement[] trace) {
        if (trace.length == 0) {
            return "";
        }
        return " at " + trace[0] + (trace.length == 1 ? "" : ", " + trace[1]);
    }

    private void write(Severity severity, String name, String message, Object... fields) {
        if (shared.sink.isEnabled(severity, logger)) {
            shared.sink.write(new LogEvent(shared.clock.now(), severity, logger, name, message, List.of(fields)));
        }
    }

    private void writeRateLimited(Severity severity, String name, String message, Object detail, Object... fields) {
        if (!shared.sink.isEnabled(severity, logger)) {
            return;
        }
        RateLimit limit = shared.rateLimit(name + message);
        double now = shared.clock.now();
        if (now < limit.nextAtMs) {
            limit.suppressed++;
            shared.suppressed++;
            return;
        }
        limit.nextAtMs = now + RATE_LIMIT_INTERVAL_MS;
        List<Object> allFields = new ArrayList<>(List.of(fields));
        allFields.addAll(List.of("detail", String.valueOf(detail), "suppressed", limit.suppressed));
        String suppressed = limit.suppressed == 0 ? "" : " (and " + limit.suppressed + " more before)";
        String text = message + ": " + detail + suppressed;
        shared.sink.write(new LogEvent(now, severity, logger, name, text, allFields));
        limit.suppressed = 0;
    }
}
