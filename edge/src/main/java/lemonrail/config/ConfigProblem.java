package lemonrail.config;

import java.nio.file.Path;

/**
 * One problem of a configuration.
 *
 * @param line counted from 1, or 0 if unknown
 * @param key the whole path of the key, or empty for a problem of the file as a whole
 * @param value as it stands in the file, or null if it is missing
 * @param message what is allowed, or what is wrong
 */
public record ConfigProblem(Path file, int line, String key, String value, String message) {

    /** Returns a problem of a file as a whole; {@code line} is 0 if unknown. */
    static ConfigProblem ofFile(Path file, int line, String message) {
        return new ConfigProblem(file, line, "", null, message);
    }

    /** Returns one line: file, line, key, value and message. */
    @Override
    public String toString() {
        String place = line > 0 ? file + ":" + line : file.toString();
        if (key.isEmpty()) {
            return place + ": " + message;
        }
        return place + ": " + key + (value == null ? "" : " = " + value) + ": " + message;
    }
}
