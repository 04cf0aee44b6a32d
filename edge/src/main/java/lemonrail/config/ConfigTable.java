package lemonrail.config;

import java.util.List;

/**
 * A table of the operators' file.
 *
 * @param name the name in its header, or empty for the keys before the first header
 * @param maxCount the maximum number of tables for a repeated one such as {@code [[listeners]]}; 0 for a single table
 * @param description one line for operators
 */
public record ConfigTable(String name, int maxCount, String description, List<ConfigKey<?>> keys) {

    boolean isRepeated() {
        return maxCount > 0;
    }

    boolean isRoot() {
        return name.isEmpty();
    }

    /** Returns the header as written in a file. */
    String header() {
        return isRepeated() ? "[[" + name + "]]" : "[" + name + "]";
    }

    /** Returns the full path of a key; {@code index} is the position among repeated tables, ignored for single ones. */
    String path(int index, String key) {
        if (isRoot()) {
            return key;
        }
        return isRepeated() ? name + "[" + index + "]." + key : name + "." + key;
    }
}
