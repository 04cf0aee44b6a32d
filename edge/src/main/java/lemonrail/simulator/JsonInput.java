package lemonrail.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** The simulator's JSON, read token by token. Each method leaves the input at the last token of what it read. */
final class JsonInput {

    /** Reads the value of one field, at whose first token the input stands. */
    @FunctionalInterface
    interface FieldReader {
        void read(String name) throws IOException;
    }

    /** Reads one element of an array, at whose first token the input stands. */
    @FunctionalInterface
    interface ElementReader<T> {
        T read(JsonInput in) throws IOException;
    }

    private final JsonParser parser;

    JsonInput(InputStream input) throws IOException {
        parser = JsonFactory.builder()
                .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
                .build()
                .createParser(input);
    }

    JsonParser parser() {
        return parser;
    }

    /** Moves to the next value at the top level; false at the end of the input. */
    boolean advance() throws IOException {
        return parser.nextToken() != null;
    }

    /** Reads an object's fields, each by {@code reader}; {@code what} names the object in errors. */
    void readFields(String what, FieldReader reader) throws IOException {
        expect(JsonToken.START_OBJECT, what);
        while (next() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            next();
            reader.read(name);
        }
    }

    /** Reads an array's elements, each by {@code reader}; {@code what} names the array in errors. */
    <T> List<T> readArray(String what, ElementReader<T> reader) throws IOException {
        expect(JsonToken.START_ARRAY, what);
        List<T> elements = new ArrayList<>();
        while (next() != JsonToken.END_ARRAY) {
            elements.add(reader.read(this));
        }
        return elements;
    }

    private JsonToken next() throws IOException {
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw new MalformedBatchException("the input ends within a batch");
        }
        return token;
    }

    /** Checks that {@code what} begins with this token. */
    void expect(JsonToken expected, String what) throws MalformedBatchException {
        if (!isAt(expected)) {
            throw new MalformedBatchException(
                    what + " should begin with " + expected + " but " + parser.currentToken() + " was found");
        }
    }

    boolean isAt(JsonToken token) {
        return parser.currentToken() == token;
    }

    boolean isNull() {
        return isAt(JsonToken.VALUE_NULL);
    }

    String text() throws IOException {
        return parser.getText();
    }

    int intValue() throws IOException {
        return parser.getIntValue();
    }

    long longValue() throws IOException {
        return parser.getNumberValue().longValue();
    }

    double doubleValue() throws IOException {
        return parser.getDoubleValue();
    }

    boolean booleanValue() throws IOException {
        return parser.getBooleanValue();
    }

    /** Passes over the value at which the input stands. */
    void skip() throws IOException {
        parser.skipChildren();
    }
}
