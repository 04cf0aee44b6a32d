package lemonrail.config;

import java.nio.file.Path;

/**
 * One thing that is wrong with a configuration.
 *
 * @param line counted from 1, or 0 where no line can be named
 * @param key the whole path of the key, or empty where the file as a whole is meant
 * @param value as it stands in the file, or null where it is missing
 * @param allowed what would be right
 */
public record ConfigProblem(Path file, int line, String key, String value, String allowed) {

    /** One line: file, line, key, value and what is allowed. */
    @Override
    public String toString() {
        return file + (line > 0 ? ":" + line : "") + ": "
                + (key.isEmpty() ? "" : key + (value == null ? "" : " = " + value) + ": ") + allowed;
    }
}
