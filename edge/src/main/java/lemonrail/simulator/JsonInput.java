package lemonrail.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;

/** Reads the simulator's JSON token by token. Each method leaves the input at the last token that it has read. */
final class JsonInput {

    /** Reads the value of one field; the input is at the first token of the value. */
    @FunctionalInterface
    interface FieldReader {
        void read(String name) throws IOException;
    }

    /** Reads one element of an array; the input is at the first token of the element. */
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

    /** Moves to the next value at the top level; returns false at the end of the input. */
    boolean advance() throws IOException {
        return parser.nextToken() != null;
    }

    /** Reads the fields of an object, each with {@code reader}; {@code what} names the object in error messages. */
    void readFields(String what, FieldReader reader) throws IOException {
        expect(JsonToken.START_OBJECT, what);
        while (next() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            next();
            reader.read(name);
        }
    }

    /** Reads the elements of an array, each with {@code reader}; {@code what} names the array in error messages. */
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
            throw new MalformedBatchException("unexpected end of input within a batch");
        }
        return token;
    }

    /** Checks that the input is at this token, the first of the value that {@code what} names in error messages. */
    void expect(JsonToken expected, String what) throws MalformedBatchException {
        if (!isAt(expected)) {
            throw new MalformedBatchException(
                    what + " must begin with " + expected + ", but " + parser.currentToken() + " was found");
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

    /** Skips the value whose first token the input is at. */
    void skip() throws IOException {
        parser.skipChildren();
    }
}
