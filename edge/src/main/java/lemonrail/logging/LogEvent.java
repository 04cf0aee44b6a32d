package lemonrail.logging;

import java.util.List;

/**
 * One thing that happened.
 *
 * @param atMs Unix time in milliseconds
 * @param logger the package of the part that tells
 * @param name the event's name, which stays the same from version to version
 * @param message the same for people, one line
 * @param fields names and values in turn
 */
public record LogEvent(
        double atMs, Severity severity, String logger, String name, String message, List<Object> fields) {}
