package lemonrail.config;

/**
 * One key of the operators' file.
 *
 * @param name the key's name within its table
 * @param defaultText the value used if the file has none, in TOML; null if there is no default
 * @param required whether the file must have the key
 * @param reloadable whether a reload applies a change of the value
 * @param description one line for operators
 */
public record ConfigKey<T>(
        String name, ValueType<T> type, String defaultText, boolean required, boolean reloadable, String description) {

    /** Returns a key that the file must have. */
    public static <T> ConfigKey<T> required(String name, ValueType<T> type, String description) {
        return new ConfigKey<>(name, type, null, true, false, description);
    }

    /** Returns a key that the file may omit; {@code defaultText} may be null. */
    public static <T> ConfigKey<T> optional(String name, ValueType<T> type, String defaultText, String description) {
        return new ConfigKey<>(name, type, defaultText, false, false, description);
    }

    /** Returns the same key, marked so that a reload applies a change of its value. */
    ConfigKey<T> asReloadable() {
        return new ConfigKey<>(name, type, defaultText, required, true, description);
    }

    /** Returns the same key as an optional one without a default. */
    ConfigKey<T> asOptional() {
        return optional(name, type, null, description);
    }
}
