package lemonrail.config;

import java.util.List;

/**
 * A table of the operators' file.
 *
 * @param name as in its header, or empty for what stands above all headers
 * @param most how many there may be, as with {@code [[listeners]]}, or 0 where there is one at most
 * @param meaning one line for the operators
 */
public record ConfigTable(String name, int most, String meaning, List<ConfigKey<?>> keys) {

    boolean isRepeated() {
        return most > 0;
    }

    /** The path of a key, in the table of this place if it is a repeated one. */
    String path(int place, String key) {
        return name.isEmpty() ? key : name + (isRepeated() ? "[" + place + "]." : ".") + key;
    }
}
