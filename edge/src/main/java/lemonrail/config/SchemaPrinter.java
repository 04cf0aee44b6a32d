package lemonrail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;

/** All that the operators' file may say, as a text for people and as a JSON Schema. */
public final class SchemaPrinter {

    private SchemaPrinter() {}

    /** Each key with its default, what is allowed, and whether a reload takes it up. */
    public static String text() {
        StringBuilder text = new StringBuilder();
        for (ConfigTable table : Schema.TABLES) {
            String header = table.isRepeated() ? "[[" + table.name() + "]]" : "[" + table.name() + "]";
            text.append(table.name().isEmpty() ? "" : "\n" + header + "\n")
                    .append("# ")
                    .append(table.meaning())
                    .append(table.isRepeated() ? "; " + table.most() + " at most" : "")
                    .append('\n');
            for (ConfigKey<?> key : table.keys()) {
                text.append(key.name())
                        .append("\n    ")
                        .append(key.meaning())
                        .append("\n    must be ")
                        .append(key.type().allowed())
                        .append("\n    ")
                        .append(
                                key.required()
                                        ? "required"
                                        : key.usual() == null ? "no default" : "default " + key.usual())
                        .append(key.live() ? "; a reload takes it up" : "; needs a restart")
                        .append('\n');
            }
        }
        return text.toString();
    }

    /** A JSON Schema (2020-12), which editors of TOML read as well. */
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
                if (table.name().isEmpty()) {
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
        out.writeStringField("description", table.meaning());
        if (table.isRepeated()) {
            out.writeStringField("type", "array");
            out.writeNumberField("maxItems", table.most());
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
                    "description", key.meaning() + "; must be " + key.type().allowed());
            if (key.usual() != null) {
                out.writeFieldName("default");
                out.writeRawValue(TomlDocument.value(key.usual()).toString());
            }
            out.writeEndObject();
        }
    }
}
