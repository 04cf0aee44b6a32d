package lemonrail.logging;

import java.util.List;

/**
 * One event of the log.
 *
 * @param atMs Unix time in milliseconds
 * @param logger the name of the logger: the package of the code that logs
 * @param name identifies the kind of event, the same from version to version
 * @param message one line for people
 * @param fields alternating names and values
 */
public record LogEvent(
        double atMs, Severity severity, String logger, String name, String message, List<Object> fields) {}
