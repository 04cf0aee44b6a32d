package lemonrail.logging;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemonrail.time.Clock;

/**
 * The log of one component. Events that may be frequent are rate limited: each kind of event is written at most
 * once per second, and the next one written reports how many were suppressed. The rate-limited methods must be
 * called on the event loop, all others may be called from any thread. Fields are alternating names and values.
 */
public final class EventLog {

    /** The name of the root logger. */
    public static final String ROOT = "lemonrail";

    private static final double RATE_LIMIT_INTERVAL_MS = 1000;
    /** Bounds the memory of the rate limits; larger than the number of kinds of events in the program. */
    private static final int MAX_KINDS = 256;

    /** The rate limit of one kind of event. */
    private static final class RateLimit {
        double nextAtMs = Double.NEGATIVE_INFINITY;
        int suppressed;
    }

    /** The state shared by the logs of all components. */
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

    /** Returns the number of events that the rate limits of all loggers have suppressed. */
    public int suppressed() {
        return shared.suppressed;
    }

    /** Returns whether {@link #debug} writes events, so that callers can avoid creating costly ones. */
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

    /** Logs a rare fault that was caused outside of the program. */
    public void warn(String name, String message, Object... fields) {
        write(Severity.WARN, name, message, fields);
    }

    /** Logs a fault that may repeat, rate limited; {@code detail} is appended to the message. */
    public void warnRateLimited(String name, String message, Object detail, Object... fields) {
        writeRateLimited(Severity.WARN, name, message, detail, fields);
    }

    /** Logs an unexpected exception with the top of its stack trace, rate limited. */
    public void error(String message, Throwable e) {
        writeRateLimited(
                Severity.ERROR,
                "fault",
                message,
                e + describeLocation(e.getStackTrace()),
                "exception",
                e.getClass().getName());
    }

    private static String describeLocation(StackTraceElement[] trace) {
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
        double nowMs = shared.clock.now();
        if (nowMs < limit.nextAtMs) {
            limit.suppressed++;
            shared.suppressed++;
            return;
        }
        limit.nextAtMs = nowMs + RATE_LIMIT_INTERVAL_MS;
        List<Object> allFields = new ArrayList<>(List.of(fields));
        allFields.addAll(List.of("detail", String.valueOf(detail), "suppressed", limit.suppressed));
        String suppressed = limit.suppressed == 0 ? "" : " (" + limit.suppressed + " similar events suppressed before)";
        String text = message + ": " + detail + suppressed;
        shared.sink.write(new LogEvent(nowMs, severity, logger, name, text, allFields));
        limit.suppressed = 0;
    }
}
