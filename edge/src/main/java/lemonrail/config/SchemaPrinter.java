package lemonrail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;

/** Prints the schema of the operators' file, as text and as a JSON Schema. */
public final class SchemaPrinter {

    private SchemaPrinter() {}

    /** Returns a text with each key, its default, its allowed values and whether a reload applies a change. */
    public static String text() {
        StringBuilder text = new StringBuilder();
        for (ConfigTable table : Schema.TABLES) {
            appendTable(text, table);
        }
        return text.toString();
    }

    private static void appendTable(StringBuilder text, ConfigTable table) {
        if (!table.isRoot()) {
            text.append('\n').append(table.header()).append('\n');
        }
        text.append("# ").append(table.description());
        if (table.isRepeated()) {
            text.append("; ").append(table.maxCount()).append(" at most");
        }
        text.append('\n');
        table.keys().forEach(key -> appendKey(text, key));
    }

    private static void appendKey(StringBuilder text, ConfigKey<?> key) {
        text.append(key.name()).append('\n');
        text.append("    ").append(key.description()).append('\n');
        text.append("    must be ").append(key.type().allowed()).append('\n');
        text.append("    ").append(describeDefault(key));
        text.append(key.reloadable() ? "; applied by a reload\n" : "; needs a restart\n");
    }

    private static String describeDefault(ConfigKey<?> key) {
        if (key.required()) {
            return "required";
        }
        return key.defaultText() == null ? "no default" : "default " + key.defaultText();
    }

    /** Returns a JSON Schema (2020-12), which editors of TOML files also support. */
    public static String json() throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator out = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            out.writeStartObject();
            out.writeStringField("$schema", "https://json-schema.org/draft/2020-12/schema");
            out.writeStringField("title", "lemonrail");
            out.writeStringField("type", "object");
            out.writeBooleanField("additionalProperties", false);
            out.writeObjectFieldStart("properties");
            for (ConfigTable table : Schema.TABLES) {
                if (table.isRoot()) {
                    writeKeys(out, table.keys());
                } else {
                    writeTable(out, table);
                }
            }
            out.writeEndObject();
            out.writeArrayFieldStart("required");
            out.writeString(Schema.LISTENERS.name());
            out.writeString(Schema.CLASSES.name());
            out.writeEndArray();
            out.writeEndObject();
        }
        return text.append("\n").toString();
    }

    private static void writeTable(JsonGenerator out, ConfigTable table) throws IOException {
        out.writeObjectFieldStart(table.name());
        out.writeStringField("description", table.description());
        if (table.isRepeated()) {
            out.writeStringField("type", "array");
            out.writeNumberField("maxItems", table.maxCount());
            out.writeObjectFieldStart("items");
        }
        out.writeStringField("type", "object");
        out.writeBooleanField("additionalProperties", false);
        out.writeObjectFieldStart("properties");
        writeKeys(out, table.keys());
        out.writeEndObject();
        out.writeArrayFieldStart("required");
        for (ConfigKey<?> key : table.keys()) {
            if (key.required()) {
                out.writeString(key.name());
            }
        }
        out.writeEndArray();
        if (table.isRepeated()) {
            out.writeEndObject();
        }
        out.writeEndObject();
    }

    private static void writeKeys(JsonGenerator out, List<ConfigKey<?>> keys) throws IOException {
        for (ConfigKey<?> key : keys) {
            out.writeObjectFieldStart(key.name());
            out.writeStringField("type", key.type().name());
            out.writeStringField(
                    "description", key.description() + "; must be " + key.type().allowed());
            if (key.defaultText() != null) {
                out.writeFieldName("default");
                out.writeRawValue(TomlDocument.parseValue(key.defaultText()).toString());
            }
            out.writeEndObject();
        }
    }
}
