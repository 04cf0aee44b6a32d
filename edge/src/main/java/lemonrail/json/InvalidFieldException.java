package lemonrail.json;

/** Thrown if a field of a JSON document is missing or has an invalid value. */
public final class InvalidFieldException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final String field;
    private final String value;

    /**
     * Creates an exception for a field.
     *
     * @param field the path of the field in the document
     * @param value the value of the field, or null if the field is missing
     */
    public InvalidFieldException(String field, Object value) {
        super("field " + field + (value == null ? " is missing" : " is invalid: " + value));
        this.field = field;
        this.value = value == null ? null : String.valueOf(value);
    }

    /** Returns the field's path. */
    public String field() {
        return field;
    }

    /** Returns the field's value as text, or null if it is missing. */
    public String value() {
        return value;
    }
}
