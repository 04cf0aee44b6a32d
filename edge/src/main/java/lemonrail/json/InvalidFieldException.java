package lemonrail.json;

/** A field of a JSON document that is missing or has no usable value. */
public final class InvalidFieldException extends IllegalArgumentException {

    private static final long serialVersionUID = 1;

    private final String field;
    private final String value;

    /**
     * Creates an exception for a field.
     *
     * @param field its path in the document
     * @param value what it holds, null if it is missing
     */
    public InvalidFieldException(String field, Object value) {
        super("field " + field + (value == null ? " is missing" : " is not usable: " + value));
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
