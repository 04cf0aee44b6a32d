package lemonrail.config;

import java.nio.file.Path;

/**
 * One problem in a configuration.
 *
 * @param line the line number, counted from 1, or 0 if unknown
 * @param key the full path of the key, or empty for a problem that concerns the entire file
 * @param value the value as written in the file, or null if it is missing
 * @param message what is wrong, or which values are allowed
 */
public record ConfigProblem(Path file, int line, String key, String value, String message) {

    /** Returns a problem that concerns an entire file; {@code line} is 0 if unknown. */
    static ConfigProblem ofFile(Path file, int line, String message) {
        return new ConfigProblem(file, line, "", null, message);
    }

    /** Returns file, line number, key, value and message in one line. */
    @Override
    public String toString() {
        String location = line > 0 ? file + ":" + line : file.toString();
        if (key.isEmpty()) {
            return location + ": " + message;
        }
        return location + ": " + key + (value == null ? "" : " = " + value) + ": " + message;
    }
}
