package lemonrail.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads and writes JSON. Objects are represented as maps, arrays as lists, and the numbers that are read as
 * {@link Double}.
 */
public final class Json {

    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** Parses the first value of a document; returns null if the document is empty or the value is a JSON null. */
    public static Object parse(byte[] json) throws IOException {
        try (JsonParser parser = FACTORY.createParser(json)) {
            return parser.nextToken() == null ? null : parse(parser);
        }
    }

    /** Parses the value that starts at the parser's current token. */
    public static Object parse(JsonParser parser) throws IOException {
        JsonToken token = parser.currentToken();
        if (token == JsonToken.START_OBJECT) {
            return parseObject(parser);
        }
        if (token == JsonToken.START_ARRAY) {
            return parseArray(parser);
        }
        if (token.isNumeric()) {
            return parser.getDoubleValue();
        }
        if (token.isBoolean()) {
            return parser.getBooleanValue();
        }
        return token == JsonToken.VALUE_NULL ? null : parser.getText();
    }

    private static Map<String, Object> parseObject(JsonParser parser) throws IOException {
        Map<String, Object> fields = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            fields.put(name, parse(parser));
        }
        return fields;
    }

    private static List<Object> parseArray(JsonParser parser) throws IOException {
        List<Object> elements = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            elements.add(parse(parser));
        }
        return elements;
    }

    /**
     * Returns the JSON text of a value, which may be a map, a list, a number, a boolean or null. Any other value is
     * written as a string.
     */
    public static String text(Object value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator generator = FACTORY.createGenerator(text)) {
            write(generator, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator generator, Object value) throws IOException {
        if (value instanceof Map<?, ?> fields) {
            writeObject(generator, fields);
        } else if (value instanceof List<?> elements) {
            writeArray(generator, elements);
        } else if (value instanceof Integer || value instanceof Long) {
            generator.writeNumber(((Number) value).longValue());
        } else if (value instanceof Number number) {
            generator.writeNumber(number.doubleValue());
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value == null) {
            generator.writeNull();
        } else {
            generator.writeString(value.toString());
        }
    }

    private static void writeObject(JsonGenerator generator, Map<?, ?> fields) throws IOException {
        generator.writeStartObject();
        for (Map.Entry<?, ?> field : fields.entrySet()) {
            generator.writeFieldName(String.valueOf(field.getKey()));
            write(generator, field.getValue());
        }
        generator.writeEndObject();
    }

    private static void writeArray(JsonGenerator generator, List<?> elements) throws IOException {
        generator.writeStartArray();
        for (Object element : elements) {
            write(generator, element);
        }
        generator.writeEndArray();
    }
}
