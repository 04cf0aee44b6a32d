package lemonrail.control;

import java.util.regex.Pattern;
import lemonrail.json.InvalidFieldException;

/** The names that services, endpoints, documents, watchers and nodes may have. */
final class EntryNames {

    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    /** A node's name, with the suffix of a backdated write. */
    private static final Pattern ORIGIN = Pattern.compile("[A-Za-z0-9._-]{1,64}~?");

    private EntryNames() {}

    /**
     * Returns a value that is a valid name.
     *
     * @throws InvalidFieldException if it is not, naming the field
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
