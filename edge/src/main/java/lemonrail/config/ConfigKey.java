package lemonrail.config;

/**
 * One key of the operators' file.
 *
 * @param name within its table
 * @param defaultText the value where the file has none, as it would be written; null where there is no default
 * @param required whether the file must have the key
 * @param reloadable whether a reload applies a change of the value
 * @param meaning one line for the operators
 */
public record ConfigKey<T>(
        String name, ValueType<T> type, String defaultText, boolean required, boolean reloadable, String meaning) {

    /** Returns a key that the file must have. */
    public static <T> ConfigKey<T> required(String name, ValueType<T> type, String meaning) {
        return new ConfigKey<>(name, type, null, true, false, meaning);
    }

    /** Returns a key that the file may leave out; {@code defaultText} may be null. */
    public static <T> ConfigKey<T> optional(String name, ValueType<T> type, String defaultText, String meaning) {
        return new ConfigKey<>(name, type, defaultText, false, false, meaning);
    }

    /** Returns the same key, as one whose change a reload applies. */
    ConfigKey<T> asReloadable() {
        return new ConfigKey<>(name, type, defaultText, required, true, meaning);
    }

    /** Returns the same key, which may be left out and has no default. */
    ConfigKey<T> asOptional() {
        return optional(name, type, null, meaning);
    }
}
