package lemonrail.config;

/**
 * One key of the operators' file.
 *
 * @param name within its table
 * @param usual the value in force where the file has none, as it would be written; null where there is none
 * @param required whether the file must have it
 * @param live whether a reload takes a change of it up
 * @param meaning one line for the operators
 */
public record ConfigKey<T>(
        String name, ValueType<T> type, String usual, boolean required, boolean live, String meaning) {

    /** A key that the file must have. */
    public static <T> ConfigKey<T> required(String name, ValueType<T> type, String meaning) {
        return new ConfigKey<>(name, type, null, true, false, meaning);
    }

    /** A key with a value in force where the file has none, or null. */
    public static <T> ConfigKey<T> optional(String name, ValueType<T> type, String usual, String meaning) {
        return new ConfigKey<>(name, type, usual, false, false, meaning);
    }

    /** The same, of which a reload takes a change up. */
    ConfigKey<T> changeable() {
        return new ConfigKey<>(name, type, usual, required, true, meaning);
    }
}
