package lemonrail.control;

import java.util.regex.Pattern;
import lemonrail.json.InvalidFieldException;

/** Validates the names of services, endpoints, settings documents, watchers and control nodes. */
final class EntryNames {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    /** A node's name, with the suffix {@code ~} if the write was backdated. */
    private static final Pattern ORIGIN = Pattern.compile("[A-Za-z0-9._-]{1,64}~?");

    private EntryNames() {}

    /**
     * Returns the value if it is a valid name.
     *
     * @param field the path of the field, which the exception names
     * @throws InvalidFieldException if the value is not a valid name
     */
    static String require(String field, Object value) {
        if (value instanceof String text && NAME.matcher(text).matches()) {
            return text;
        }
        throw new InvalidFieldException(field, value);
    }

    static boolean isOrigin(String text) {
        return ORIGIN.matcher(text).matches();
    }
}
