package lemonrail.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * A TOML file that is read table by table. An environment variable {@code LEMONRAIL_TABLE_KEY} overrides a key of a
 * table that is not repeated. Problems are collected until {@link #throwIfInvalid}, which reports all of them.
 */
public final class TomlDocument {

    private static final long MAX_BYTES = 4L << 20;
    private static final TomlMapper TOML = new TomlMapper();

    private final JsonNode root;
    private final Map<String, String> environment;
    private final Findings findings;

    private TomlDocument(JsonNode root, Map<String, String> environment, Findings findings) {
        this.root = root;
        this.environment = environment;
        this.findings = findings;
    }

    /**
     * Reads and parses a file.
     *
     * @throws ConfigException if the file is missing, larger than 4 MiB, not UTF-8 or not valid TOML
     */
    public static TomlDocument read(Path file, Map<String, String> environment) throws IOException {
        return parse(file, readText(file), environment);
    }

    /** Parses a text that is not in a file; problems give {@code name} as the file; ignores environment variables. */
    static TomlDocument of(String text, String name) {
        return parse(Path.of(name), text, Map.of());
    }

    private static TomlDocument parse(Path file, String text, Map<String, String> environment) {
        TomlLineIndex lines = new TomlLineIndex(text);
        try {
            return new TomlDocument(TOML.readTree(text), environment, new Findings(file, lines));
        } catch (JsonProcessingException e) {
            throw new ConfigException(syntaxProblem(file, lines, e));
        }
    }

    private static ConfigProblem syntaxProblem(Path file, TomlLineIndex lines, JsonProcessingException e) {
        if (lines.repeatedKey() != null) {
            return new ConfigProblem(
                    file,
                    lines.repeatedKeyLine(),
                    lines.repeatedKey(),
                    null,
                    "is defined twice; each key must be defined once");
        }
        JsonLocation location = e.getLocation();
        String reason = e.getOriginalMessage().lines().findFirst().orElse("");
        return ConfigProblem.ofFile(file, location == null ? 0 : location.getLineNr(), "invalid TOML: " + reason);
    }

    private static String readText(Path file) throws IOException {
        try {
            if (Files.size(file) > MAX_BYTES) {
                throw new ConfigException(ConfigProblem.ofFile(file, 0, "file is larger than 4MiB"));
            }
            return Files.readString(file);
        } catch (NoSuchFileException e) {
            throw new ConfigException(ConfigProblem.ofFile(file, 0, "file not found"));
        } catch (CharacterCodingException e) {
            throw new ConfigException(ConfigProblem.ofFile(file, 0, "file is not valid UTF-8"));
        }
    }

    /** Returns the keys before the first table; reports names that are neither such a key nor one of the tables. */
    public TableReader root(ConfigTable keys, List<ConfigTable> tables) {
        TableReader reader = new TableReader(keys, 0, root, environment, findings);
        reader.checkNames(tables.stream()
                .filter(table -> !table.isRoot())
                .map(ConfigTable::name)
                .toList());
        return reader;
    }

    /** Returns whether the file has a table of this name. */
    public boolean has(ConfigTable table) {
        return root.has(table.name());
    }

    /** Returns a table that is not repeated, empty if the file has none; reports unknown keys. */
    public TableReader table(ConfigTable table) {
        JsonNode fields = root.get(table.name());
        if (fields != null && !fields.isObject()) {
            addProblem(table.name(), fields.toString(), "must be a table: " + table.header());
            fields = null;
        }
        return reader(table, 0, fields == null ? JsonNodeFactory.instance.objectNode() : fields);
    }

    /** Returns all repeated tables of this name, in the order of the file; reports unknown keys. */
    public List<TableReader> tables(ConfigTable table) {
        JsonNode elements = root.get(table.name());
        if (elements == null) {
            return List.of();
        }
        boolean allTables = isArrayOfTables(elements);
        if (!allTables || elements.size() > table.maxCount()) {
            String found = allTables ? elements.size() + " tables" : elements.toString();
            String allowed = "must be 1 to " + table.maxCount() + " tables: " + table.header();
            addProblem(table.name(), found, allowed);
            return List.of();
        }
        List<TableReader> readers = new ArrayList<>();
        for (JsonNode element : elements) {
            readers.add(reader(table, readers.size(), element));
        }
        return readers;
    }

    private static boolean isArrayOfTables(JsonNode elements) {
        boolean allTables = elements.isArray();
        for (JsonNode element : elements) {
            allTables &= element.isObject();
        }
        return allTables;
    }

    private TableReader reader(ConfigTable table, int index, JsonNode fields) {
        TableReader reader = new TableReader(table, index, fields, environment, findings);
        reader.checkNames(List.of());
        return reader;
    }

    /** Reports a problem of a key; {@code value} is null if the key is missing. */
    public void addProblem(String path, String value, String message) {
        findings.addProblem(path, value, message);
    }

    /** Returns whether any problem has been reported so far. */
    public boolean hasProblems() {
        return !findings.problems.isEmpty();
    }

    /**
     * Throws if problems have been reported; to be called after all tables were read.
     *
     * @throws ConfigException with all problems, in the order of the file
     */
    public void throwIfInvalid() {
        if (hasProblems()) {
            findings.problems.sort(Comparator.comparingInt(ConfigProblem::line));
            throw new ConfigException(findings.problems);
        }
    }

    /** Returns the effective values, in the order in which they were read. */
    List<LoadedConfiguration.Value> values() {
        return findings.values;
    }

    /** Parses one value in TOML. */
    static JsonNode parseValue(String text) {
        try {
            return TOML.readTree("v = " + text).get("v");
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The values and problems of a file. */
    private static final class Findings implements TableReader.Report {
        private final Path file;
        private final TomlLineIndex lines;
        private final List<ConfigProblem> problems = new ArrayList<>();
        private final List<LoadedConfiguration.Value> values = new ArrayList<>();

        Findings(Path file, TomlLineIndex lines) {
            this.file = file;
            this.lines = lines;
        }

        @Override
        public void addProblem(String path, String value, String message) {
            problems.add(new ConfigProblem(file, lines.lineOf(path), path, value, message));
        }

        @Override
        public void addValue(String path, String text, TableReader.Origin origin, boolean reloadable) {
            String originText = switch (origin) {
                case DEFAULT -> "default";
                case ENVIRONMENT -> "environment";
                case FILE -> file + ":" + lines.lineOf(path);
            };
            values.add(new LoadedConfiguration.Value(path, text, originText, reloadable));
        }
    }
}
