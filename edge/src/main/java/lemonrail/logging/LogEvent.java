package lemonrail.logging;

import java.util.List;

/**
 * A structured log event.
 *
 * @param timestampMs Unix time in milliseconds
 * @param logger the name of the logger, after the package of the code that logs
 * @param name identifies the kind of event; stable across versions
 * @param message the human-readable line
 * @param fields alternating names and values
 */
public record LogEvent(
        double timestampMs, Severity severity, String logger, String name, String message, List<Object> fields) {}
