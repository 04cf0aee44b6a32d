package lemonrail.config;

import java.util.List;

/**
 * A configuration that has been read.
 *
 * @param values each value and where it came from, in the words of the operators' file
 */
public record LoadedConfiguration(EdgeConfig config, List<Value> values) {

    /**
     * One value in force.
     *
     * @param origin {@code default}, the file with its line, the name of an environment variable, or the
     *     platform's JSON
     * @param live whether a reload takes a change of it up
     */
    public record Value(String key, String text, String origin, boolean live) {}
}
