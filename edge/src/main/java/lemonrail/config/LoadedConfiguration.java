package lemonrail.config;

import java.util.List;

/**
 * A configuration that has been read.
 *
 * @param values each value in force and its origin, by the keys of the operators' file
 */
public record LoadedConfiguration(EdgeConfig config, List<Value> values) {

    /**
     * One value in force.
     *
     * @param origin {@code default}, the file with its line, the name of an environment variable, or the
     *     platform's JSON
     * @param reloadable whether a reload applies a change of this value
     */
    public record Value(String key, String text, String origin, boolean reloadable) {}
}
