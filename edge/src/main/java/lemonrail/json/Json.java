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

/** JSON as plain values: objects as maps, arrays as lists, numbers as {@link Double}. */
public final class Json {

    private static final JsonFactory FACTORY = new JsonFactory();

    private Json() {}

    /** Reads one value from these bytes, or null where they hold none. */
    public static Object value(byte[] json) throws IOException {
        try (JsonParser in = FACTORY.createParser(json)) {
            return in.nextToken() == null ? null : value(in);
        }
    }

    /** Reads the value that the parser stands at. */
    public static Object value(JsonParser in) throws IOException {
        JsonToken token = in.currentToken();
        if (token == JsonToken.START_OBJECT) {
            Map<String, Object> map = new LinkedHashMap<>();
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                map.put(name, value(in));
            }
            return map;
        }
        if (token == JsonToken.START_ARRAY) {
            List<Object> list = new ArrayList<>();
            while (in.nextToken() != JsonToken.END_ARRAY) {
                list.add(value(in));
            }
            return list;
        }
        if (token.isNumeric()) {
            return in.getDoubleValue();
        }
        return token == JsonToken.VALUE_NULL ? null : token.isBoolean() ? (Object) in.getBooleanValue() : in.getText();
    }

    /** Writes a value as text: maps, lists, whole numbers and others, text, truth values and null. */
    public static String text(Object value) {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = FACTORY.createGenerator(text)) {
            write(out, value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator out, Object value) throws IOException {
        if (value instanceof Map<?, ?> map) {
            out.writeStartObject();
            for (Map.Entry<?, ?> field : map.entrySet()) {
                out.writeFieldName(String.valueOf(field.getKey()));
                write(out, field.getValue());
            }
            out.writeEndObject();
        } else if (value instanceof List<?> list) {
            out.writeStartArray();
            for (Object element : list) {
                write(out, element);
            }
            out.writeEndArray();
        } else if (value instanceof Integer || value instanceof Long) {
            out.writeNumber(((Number) value).longValue());
        } else if (value instanceof Number number) {
            out.writeNumber(number.doubleValue());
        } else if (value instanceof Boolean truth) {
            out.writeBoolean(truth);
        } else if (value == null) {
            out.writeNull();
        } else {
            out.writeString(value.toString());
        }
    }
}
