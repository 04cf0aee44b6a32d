package lemonrail.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;

/** One table as the file has it: its values, read key by key; what is wrong goes to the report. */
public final class TableReader {

    /** What reading a file has found. */
    interface Report {
        /** This value is wrong, or missing where it is null. */
        void wrong(String path, String value, String allowed);

        /** This value is in force. */
        void inForce(String path, String text, Origin origin, boolean live);
    }

    /** Where a value comes from. */
    enum Origin {
        DEFAULT,
        FILE,
        ENVIRONMENT
    }

    private final ConfigTable table;
    private final int place;
    private final JsonNode fields;
    private final Map<String, String> environment;
    private final Report report;

    TableReader(ConfigTable table, int place, JsonNode fields, Map<String, String> environment, Report report) {
        this.table = table;
        this.place = place;
        this.fields = fields;
        this.environment = environment;
        this.report = report;
    }

    /** Names the keys that the table must not have. */
    void checkNames(List<String> subtables) {
        fields.fieldNames().forEachRemaining(name -> {
            if (!subtables.contains(name)
                    && table.keys().stream().noneMatch(key -> key.name().equals(name))) {
                report.wrong(
                        path(name),
                        fields.get(name).toString(),
                        "unknown key; "
                                + (table.name().isEmpty() ? "there may be " : "[" + table.name() + "] may have ")
                                + String.join(
                                        ", ",
                                        table.keys().stream()
                                                .map(ConfigKey::name)
                                                .toList())
                                + (subtables.isEmpty() ? "" : " and the tables " + String.join(", ", subtables)));
            }
        });
    }

    /** The value of a key, the usual one where the file has none, or null where there is neither. */
    public <T> T get(ConfigKey<T> key) {
        String variable = variable(key);
        JsonNode node = fields.get(key.name());
        Origin origin = Origin.FILE;
        if (!table.isRepeated() && environment.containsKey(variable)) {
            node = new ValueType.Variable(environment.get(variable));
            origin = Origin.ENVIRONMENT;
        }
        if (node == null) {
            if (key.required()) {
                report.wrong(
                        path(key.name()),
                        null,
                        "is missing; it must be " + key.type().allowed());
            } else if (key.usual() != null) {
                report.inForce(path(key.name()), key.usual(), Origin.DEFAULT, key.live());
                return key.type().read().apply(TomlDocument.value(key.usual()));
            }
            return null;
        }
        T value = key.type().read().apply(node);
        if (value == null) {
            report.wrong(
                    origin == Origin.FILE ? path(key.name()) : variable,
                    node.toString(),
                    "must be " + key.type().allowed());
        } else {
            report.inForce(path(key.name()), node.toString(), origin, key.live());
        }
        return value;
    }

    /** Whether the file has this key here. */
    public boolean has(ConfigKey<?> key) {
        return fields.has(key.name());
    }

    /** Says that the value of a key does not go with another. */
    public void contradicts(ConfigKey<?> key, String why) {
        JsonNode value = fields.get(key.name());
        report.wrong(path(key.name()), value == null ? null : value.toString(), why);
    }

    /** The whole path of a key of this table. */
    public String path(String key) {
        return table.path(place, key);
    }

    /** The environment variable that goes before the file, for tables that there is one of. */
    private String variable(ConfigKey<?> key) {
        return ("LEMONRAIL_" + (table.name().isEmpty() ? "" : table.name() + "_") + key.name())
                .replace('-', '_')
                .toUpperCase(java.util.Locale.ROOT);
    }
}
