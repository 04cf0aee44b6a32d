package lemonrail.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Reads one table of a file key by key; reports problems instead of throwing exceptions. */
public final class TableReader {

    private static final String VARIABLE_PREFIX = "LEMONRAIL_";

    /** Collects the values and problems of a file. */
    interface Report {
        /** Adds a problem; {@code value} is null if the key is missing. */
        void addProblem(String path, String value, String message);

        /** Adds an effective value; {@code text} is the value in TOML. */
        void addValue(String path, String text, Origin origin, boolean reloadable);
    }

    /** The source of a value. */
    enum Origin {
        DEFAULT,
        FILE,
        ENVIRONMENT
    }

    private final ConfigTable table;
    private final int index;
    private final JsonNode fields;
    private final Map<String, String> environment;
    private final Report report;

    TableReader(ConfigTable table, int index, JsonNode fields, Map<String, String> environment, Report report) {
        this.table = table;
        this.index = index;
        this.fields = fields;
        this.environment = environment;
        this.report = report;
    }

    /** Reports fields that are neither a key of this table nor one of its subtables. */
    void checkNames(List<String> subtables) {
        Set<String> keys = table.keys().stream().map(ConfigKey::name).collect(Collectors.toSet());
        fields.fieldNames().forEachRemaining(name -> {
            if (!subtables.contains(name) && !keys.contains(name)) {
                report.addProblem(path(name), fields.get(name).toString(), "unknown key; " + allowedNames(subtables));
            }
        });
    }

    private String allowedNames(List<String> subtables) {
        String keys = table.keys().stream().map(ConfigKey::name).collect(Collectors.joining(", "));
        return (table.isRoot() ? "allowed keys are " : "[" + table.name() + "] allows ")
                + keys
                + (subtables.isEmpty() ? "" : " and the tables " + String.join(", ", subtables));
    }

    /**
     * Returns the value of a key, or its default; null if there is neither. An invalid value and a missing required
     * one are reported and returned as null.
     */
    public <T> T get(ConfigKey<T> key) {
        String variable = variable(key);
        if (!table.isRepeated() && environment.containsKey(variable)) {
            JsonNode node = new ValueType.Variable(environment.get(variable));
            return parse(key, node, Origin.ENVIRONMENT, variable);
        }
        JsonNode node = fields.get(key.name());
        return node == null ? defaultValue(key) : parse(key, node, Origin.FILE, path(key.name()));
    }

    private <T> T parse(ConfigKey<T> key, JsonNode node, Origin origin, String problemPath) {
        Optional<T> value = key.type().parse(node);
        if (value.isEmpty()) {
            report.addProblem(
                    problemPath, node.toString(), "must be " + key.type().allowed());
            return null;
        }
        report.addValue(path(key.name()), node.toString(), origin, key.reloadable());
        return value.get();
    }

    private <T> T defaultValue(ConfigKey<T> key) {
        String path = path(key.name());
        if (key.required()) {
            String message = "is missing; it must be " + key.type().allowed();
            report.addProblem(path, null, message);
            return null;
        }
        if (key.defaultText() == null) {
            return null;
        }
        report.addValue(path, key.defaultText(), Origin.DEFAULT, key.reloadable());
        return key.type().parse(TomlDocument.parseValue(key.defaultText())).orElse(null);
    }

    /** Returns the value of a key that must be unique among all tables of this name; reports a repeated value. */
    public String getUnique(ConfigKey<String> key, Set<String> seen) {
        String value = get(key);
        if (value != null && !seen.add(value)) {
            addProblem(key, "is used twice; each value must be unique");
        }
        return value;
    }

    /** Returns whether the file has this key in this table. */
    public boolean has(ConfigKey<?> key) {
        return fields.has(key.name());
    }

    /** Reports a problem of a key, for example a value that conflicts with another key. */
    public void addProblem(ConfigKey<?> key, String message) {
        JsonNode value = fields.get(key.name());
        report.addProblem(path(key.name()), value == null ? null : value.toString(), message);
    }

    /** Returns the full path of a key of this table. */
    public String path(String key) {
        return table.path(index, key);
    }

    /** Returns the environment variable that overrides a key; must not be used for repeated tables. */
    private String variable(ConfigKey<?> key) {
        String tablePart = table.isRoot() ? "" : table.name() + "_";
        return (VARIABLE_PREFIX + tablePart + key.name()).replace('-', '_').toUpperCase(Locale.ROOT);
    }
}
