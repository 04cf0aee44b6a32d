package lemonrail.config;

import java.util.List;

/**
 * A table of the operators' file.
 *
 * @param name as in its header, or empty for the keys above all headers
 * @param maxCount how many there may be of a repeated table, as {@code [[listeners]]}; 0 for a single table
 * @param meaning one line for the operators
 */
public record ConfigTable(String name, int maxCount, String meaning, List<ConfigKey<?>> keys) {

    boolean isRepeated() {
        return maxCount > 0;
    }

    boolean isRoot() {
        return name.isEmpty();
    }

    /** Returns the header as it is written in a file. */
    String header() {
        return isRepeated() ? "[[" + name + "]]" : "[" + name + "]";
    }

    /** Returns the path of a key; {@code index} tells repeated tables apart and is else ignored. */
    String path(int index, String key) {
        if (isRoot()) {
            return key;
        }
        return isRepeated() ? name + "[" + index + "]." + key : name + "." + key;
    }
}
