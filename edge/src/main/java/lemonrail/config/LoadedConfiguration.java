package lemonrail.config;

import java.util.List;

/**
 * A configuration and the origins of its values.
 *
 * @param values each effective value with its origin, under the keys of the operators' file
 */
public record LoadedConfiguration(EdgeConfig config, List<Value> values) {

    /**
     * One effective value.
     *
     * @param origin {@code default}, file and line, the environment, or the platform's JSON
     * @param reloadable whether a reload applies a change of this value
     */
    public record Value(String key, String text, String origin, boolean reloadable) {}
}
